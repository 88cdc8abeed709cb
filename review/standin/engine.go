//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine plays a sound engine: it runs what names it, echoes the request's id, seals its
// answers and gives up a run when the connection closes. Its work takes as long as the
// request's header Work-Ms says; a stream sends an event each 250 ms.
type engine struct {
	id, service, address, zone string
	capacity                   int
	server                     *http.Server
	sequence                   int

	mu       sync.Mutex
	draining bool
	runs     map[string][]*engineRun // by id of the request
}

// engineRun is one run of a request.
type engineRun struct {
	began, ended time.Time
	finished     bool // the whole answer was written
}

func startEngine(id, service, zone string, capacity int) (*engine, error) {
	ip := loopback()
	e := &engine{id: id, service: service, zone: zone, capacity: capacity, runs: map[string][]*engineRun{}}
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e.address = lis.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(lis) }()
	return e, nil
}

// beat writes the engine's entry into the store, as it does every heartbeat_ms.
func (e *engine) beat(s *store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	s.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity": e.capacity,
		"state": state, "cold_remaining_ms": 0, "sequence": e.sequence,
	})
}

// drain makes the engine say that it leaves, at once and in its later entries.
func (e *engine) drain(s *store) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.beat(s)
}

func (e *engine) runsOf(id string) []engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []engineRun
	for _, r := range e.runs[id] {
		out = append(out, *r)
	}
	return out
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	run := &engineRun{began: time.Now()}
	e.mu.Lock()
	e.runs[id] = append(e.runs[id], run)
	e.mu.Unlock()
	finished := e.work(w, r, id)
	e.mu.Lock()
	run.ended, run.finished = time.Now(), finished
	e.mu.Unlock()
}

// work runs a request and reports whether the whole answer was written.
func (e *engine) work(w http.ResponseWriter, r *http.Request, id string) bool {
	w.Header().Set("X-Response-Seal", "seal-"+e.id+"-"+id)
	if events, _ := strconv.Atoi(r.Header.Get("Work-Events")); events > 0 {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for n := from + 1; n <= events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
				return false
			}
			_ = http.NewResponseController(w).Flush()
			if !rest(r, 250*time.Millisecond) {
				return false
			}
		}
		return true
	}
	ms, _ := strconv.Atoi(r.Header.Get("Work-Ms"))
	if !rest(r, time.Duration(ms)*time.Millisecond) {
		return false
	}
	_, err := io.WriteString(w, answerTo(id))
	return err == nil
}

func answerTo(id string) string { return "answer to " + id + ", whole" }

// rest waits, and reports false if the caller has gone meanwhile.
func rest(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
