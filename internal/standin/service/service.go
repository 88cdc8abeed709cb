// Package service is a stand-in for a plain service whose calls may not be
// repeated.
//
// Rules:
//   - Any path outside /standin/, /load and /health is a call. It counts one run
//     under its Idempotency-Key, or else its X-Request-Id.
//   - The run is counted before the answer is written, so that an answer that
//     gets lost does not hide it.
//   - The answer echoes the key and a hash of the body: an answer that reached
//     the wrong caller shows.
//   - Lock: Server.mu guards runs, knobs and the HTTP server.
package service

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/juju/errors"
)

const (
	maxBodyBytes  = 16 << 20
	maxFaultBytes = 1 << 10
	countedKeys   = 1 << 17 // keys whose runs are counted
	relistenEvery = 20 * time.Millisecond
)

// Faults are the knobs of a service. The zero value is a healthy one.
type Faults struct {
	SlowMs     int64   `json:"slow_ms"`     // added before the call runs
	LoseAnswer float64 `json:"lose_answer"` // share of calls that run and whose connection then breaks
	Error      float64 `json:"error"`       // share of calls that run and then answer 500
	DieForMs   int64   `json:"die_for_ms"`  // over HTTP only: die, and come back after this
}

// Echo is the body of an answer.
type Echo struct {
	Key      string `json:"key"`
	Run      int    `json:"run"`       // 1 for the first run under this key
	BodyHash string `json:"body_hash"` // xxhash64, hexadecimal
	Path     string `json:"path"`
}

// Server is one service. Make it with New or Start, end it with Close.
type Server struct {
	mux     *http.ServeMux
	address string
	running atomic.Int64
	boot    atomic.Int64

	mu     sync.Mutex // guards all below
	runs   *lru.Cache[string, int]
	faults Faults
	calls  float64 // spreads the shares of Faults evenly, without randomness
	http   *http.Server
	dead   bool
	closed bool
}

// New makes a service without a socket.
func New() *Server {
	s := &Server{mux: http.NewServeMux()}
	s.runs, _ = lru.New[string, int](countedKeys) // fails only on size <= 0
	s.boot.Store(1)
	s.mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	s.mux.HandleFunc("GET /load", s.handleLoad)
	s.mux.HandleFunc("GET /standin/runs", s.handleRuns)
	s.mux.HandleFunc("POST /standin/fault", s.handleFault)
	s.mux.HandleFunc("/", s.handleCall)
	return s
}

// Start makes a service that listens on a free port of 127.0.0.1 and returns it
// with its address, ip:port.
func Start() (*Server, string, error) { return StartOn("127.0.0.1:0") }

// StartOn is Start on a given address.
func StartOn(address string) (*Server, string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", errors.Annotatef(err, "step listen, peer %s", address)
	}
	s := New()
	s.address = l.Addr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(l)
	return s, s.address, nil
}

// serve starts an HTTP server. The caller holds mu.
func (s *Server) serve(l net.Listener) {
	srv := &http.Server{Handler: s.mux, ReadHeaderTimeout: 10 * time.Second}
	s.http = srv
	go func() { _ = srv.Serve(l) }()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Address returns ip:port, empty for a service made with New.
func (s *Server) Address() string { return s.address }

// Close ends the service.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.dieLocked()
}

// SetFaults replaces the knobs.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Die drops all connections and refuses new ones until Recover. The counts of
// runs survive: they are the test's record, not the service's memory.
func (s *Server) Die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dieLocked()
}

func (s *Server) dieLocked() {
	s.dead = true
	if s.http != nil {
		_ = s.http.Close()
	}
}

// Recover brings a dead service back on its old address.
func (s *Server) Recover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead || s.closed {
		return
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(relistenEvery, s.Recover)
		return
	}
	s.dead = false
	s.boot.Add(1)
	s.serve(l)
}

// Runs returns the count of runs by key.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, s.runs.Len())
	for _, key := range s.runs.Keys() {
		out[key], _ = s.runs.Peek(key)
	}
	return out
}

// outcome of one call, chosen by the knobs.
type outcome uint8

const (
	answers outcome = iota
	loses
	fails
)

func (s *Server) slow() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.SlowMs) * time.Millisecond
}

// count records a run and says how it will end.
func (s *Server) count(key string) (run int, end outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := s.runs.Get(key)
	s.runs.Add(key, n+1)
	s.calls++
	return n + 1, s.endOf(s.calls)
}

// endOf spreads faults evenly: a share of 0.25 hits every fourth call.
func (s *Server) endOf(call float64) outcome {
	hit := func(share float64) bool { return int64(call*share) > int64((call-1)*share) }
	switch {
	case hit(s.faults.LoseAnswer):
		return loses
	case hit(s.faults.Error):
		return fails
	}
	return answers
}

func keyOf(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return r.Header.Get("X-Request-Id")
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	hash := xxhash.New()
	if _, err := io.Copy(hash, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !wait(r, s.slow()) {
		return
	}
	key := keyOf(r)
	run, end := s.count(key)
	switch end {
	case loses:
		panic(http.ErrAbortHandler)
	case fails:
		http.Error(w, "the call ran and failed", http.StatusInternalServerError)
		return
	}
	writeJSON(w, Echo{Key: key, Run: run, BodyHash: strconv.FormatUint(hash.Sum64(), 16), Path: r.URL.RequestURI()})
}

// wait returns false if the caller went away first: the call then did not run.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the peer is gone if this fails
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) }

// loadReport has the shape of an engine's.
type loadReport struct {
	Running int64  `json:"running"`
	Boot    string `json:"boot"`
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, loadReport{Running: s.running.Load(), Boot: strconv.FormatInt(s.boot.Load(), 10)})
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	if f.DieForMs > 0 {
		s.Die()
		time.AfterFunc(time.Duration(f.DieForMs)*time.Millisecond, s.Recover)
	}
}
