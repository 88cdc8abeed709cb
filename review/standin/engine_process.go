//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"time"
)

// serveEngine is an engine as a process of its own, so that a case can kill it. It prints
// its address, and then a line for each stream that it begins. If spoil is set, it answers
// one of its streams of spoilEvents events without a length: that answer ends with its
// connection.
func serveEngine(id, ip string, spoil bool) error {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	p := &engineProcess{id: id, spoil: spoil, out: json.NewEncoder(os.Stdout)}
	fmt.Println(lis.Addr())
	return (&http.Server{Handler: p}).Serve(lis)
}

// spoilEvents is the number of events from which a stream may be answered without a length.
const spoilEvents = 20

type engineProcess struct {
	id string

	mu    sync.Mutex // guards the fields below
	spoil bool
	out   *json.Encoder
}

// begunStream is the line that an engine prints when it begins a stream.
type begunStream struct {
	ID       string `json:"id"`
	Events   int    `json:"events"`
	From     int    `json:"from"` // Last-Event-Id
	Unframed bool   `json:"unframed"`
}

// ServeHTTP implements http.Handler.
func (p *engineProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("X-Instance-Id", p.id)
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
	events, _ := strconv.Atoi(r.Header.Get("Work-Events"))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	unframed := p.record(id, events, from)
	if unframed {
		p.answerUnframed(w, id, events, from)
		return
	}
	w.Header().Set("X-Response-Seal", "seal-"+p.id+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	p.stream(id, events, from, func(event string) error {
		if _, err := io.WriteString(w, event); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	})
}

// record prints that a stream begins, and reports whether its answer has no length.
func (p *engineProcess) record(id string, events, from int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	unframed := p.spoil && events >= spoilEvents && from == 0
	if unframed {
		p.spoil = false
	}
	_ = p.out.Encode(begunStream{ID: id, Events: events, From: from, Unframed: unframed})
	return unframed
}

func (p *engineProcess) answerUnframed(w http.ResponseWriter, id string, events, from int) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, p.id, id)
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	p.stream(id, events, from, func(event string) error {
		_, err := io.WriteString(c, event)
		return err
	})
}

// stream sends the events of a stream, one each 250 ms.
func (p *engineProcess) stream(id string, events, from int, send func(string) error) {
	for n := from + 1; n <= events; n++ {
		if send(streamEvent(id, n)) != nil {
			return
		}
		if n < events {
			time.Sleep(250 * time.Millisecond)
		}
	}
}

func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// killableEngine is the side of the case of an engine process.
type killableEngine struct {
	engine  engine // for its entry in the store
	command *exec.Cmd

	mu    sync.Mutex
	begun []begunStream
}

func startKillableEngine(id, zone string, spoil bool) (*killableEngine, error) {
	k := &killableEngine{engine: engine{id: id, service: "briar-pool", zone: zone, capacity: 16}}
	k.command = exec.Command(os.Args[0], "engine", id, loopback(), strconv.FormatBool(spoil))
	out, err := k.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := start(k.command); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("engine %s printed no address", id)
	}
	k.engine.address = lines.Text()
	go func() {
		for lines.Scan() {
			var b begunStream
			if json.Unmarshal(lines.Bytes(), &b) == nil {
				k.mu.Lock()
				k.begun = append(k.begun, b)
				k.mu.Unlock()
			}
		}
	}()
	return k, nil
}

func (k *killableEngine) streams() []begunStream {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]begunStream(nil), k.begun...)
}

func (k *killableEngine) kill() {
	_ = k.command.Process.Kill()
	_ = k.command.Wait()
}
