//go:build review

package main

import (
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is how often a server writes to the store.
const heartbeatInterval = 1200 * time.Millisecond

// framedPath begins the paths whose streams are in chunks in any case.
const framedPath = "/stream/framed/"

// server is a stand-in of a backend server, of a model engine or of a plain service.
type server struct {
	id, service, address, zone, store string
	capacity                          int
	work                              time.Duration // of a plain request
	events                            int           // of a stream
	eventGap                          time.Duration
	unframed                          bool          // streams have no length and end with their connection
	slots                             chan struct{} // holds one token for each request that runs

	sequence atomic.Int64
	leaving  atomic.Bool
	running  atomic.Int64
	logMu    sync.Mutex
	log      *os.File
}

func runServer(args []string) int {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	s := &server{}
	flags.StringVar(&s.address, "listen", "", "IP:PORT")
	flags.StringVar(&s.store, "store", "", "IP:PORT of the store")
	flags.StringVar(&s.service, "service", "", "name of the service")
	flags.StringVar(&s.zone, "zone", "hobart", "zone")
	flags.IntVar(&s.capacity, "capacity", 16, "requests at once")
	flags.DurationVar(&s.work, "work", 15*time.Millisecond, "time of a plain request")
	flags.IntVar(&s.events, "events", 16, "events of a stream")
	flags.DurationVar(&s.eventGap, "gap", 20*time.Millisecond, "time between two events")
	flags.BoolVar(&s.unframed, "unframed", false, "streams have no length and end with their connection")
	logPath := flags.String("log", "", "file for the runs")
	flags.StringVar(&s.id, "id", "", "ID; random if empty")
	_ = flags.Parse(args) // exits on an error
	if s.id == "" {
		var random [5]byte
		_, _ = rand.Read(random[:]) // never fails
		s.id = "i-" + hex.EncodeToString(random[:])
	}
	var err error
	if s.log, err = os.OpenFile(*logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s.slots = make(chan struct{}, s.capacity)
	go s.heartbeats()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/drain", s.drain)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("/", s.handle)
	fmt.Fprintln(os.Stderr, http.ListenAndServe(s.address, mux))
	return exitNotRun
}

func (s *server) note(format string, args ...any) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	fmt.Fprintf(s.log, "%d %s %s\n", time.Now().UnixMilli(), s.id, fmt.Sprintf(format, args...))
}

func (s *server) heartbeats() {
	for ; ; time.Sleep(heartbeatInterval) {
		s.beat()
	}
}

// beat writes the entry of the server to the store.
func (s *server) beat() {
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": s.capacity,
		"state": state, "cold_remaining_ms": 0, "sequence": s.sequence.Add(1),
	}
	if err := call(http.MethodPost, "http://"+s.store+"/standin/beat/"+s.id, entry); err != nil {
		fmt.Fprintln(os.Stderr, "heartbeat:", err)
	}
}

// drain reports that the server leaves. It responds once the store has accepted the report.
func (s *server) drain(w http.ResponseWriter, _ *http.Request) {
	s.leaving.Store(true)
	s.beat()
	s.note("draining")
	w.WriteHeader(http.StatusOK)
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	if s.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handle runs a request of a caller.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Engine-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.capacity))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select { // requests beyond the slots wait
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.running.Add(1)
	defer s.running.Add(-1)
	s.note("run %s %s %s %d bytes", attempt, r.Method, r.URL.Path, len(body))
	w.Header().Set("X-Response-Seal", s.id+"."+attempt)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		s.stream(w, r, attempt)
		return
	}
	time.Sleep(s.work)
	_, _ = io.WriteString(w, strings.Repeat("x", 800)) // the caller is gone if it fails
	s.note("end %s", attempt)
}

// stream answers with events. A request with Last-Event-Id gets those behind it.
func (s *server) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if s.unframed && !strings.HasPrefix(r.URL.Path, framedPath) {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then ends the body with the connection
		w.Header().Set("Connection", "close")
	} else {
		w.Header().Set("Keep-Alive", "timeout=15")
	}
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for i := first; i <= s.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventData(r.URL.Path, i)); err != nil || flush.Flush() != nil {
			s.note("cut %s after event %d", attempt, i-1)
			return
		}
		select {
		case <-time.After(s.eventGap):
		case <-r.Context().Done():
			s.note("cut %s after event %d", attempt, i)
			return
		}
	}
	s.note("end %s", attempt)
}

// eventData is the data of an event. It is the same at each server, so that streams can be joined.
func eventData(path string, i int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", path, i)
	return fmt.Sprintf("%016x", h.Sum64())
}
