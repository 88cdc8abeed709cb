package engine

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/juju/errors"
)

// countedIDs bounds the number of request ids whose runs are counted.
const countedIDs = 1 << 17

// catchUp is how far an engine may lag behind its own schedule before it
// gives the lost time up, so that a busy machine does not lead to a burst.
const catchUp = 50 * time.Millisecond

// Server is one engine. Make it with New or Start, end it with Close.
type Server struct {
	cfg     Config
	mux     *http.ServeMux
	address string
	wakeup  chan struct{}
	stop    chan struct{}
	stopped sync.WaitGroup

	mu       sync.Mutex // guards all below
	sched    *scheduler
	cache    *prefixCache
	live     map[*sequence]struct{} // submitted and not yet ended
	byID     map[string]*sequence
	exported map[string]*exported
	handles  uint64
	runs     *lru.Cache[string, int]
	models   map[string]Weights
	role     string
	fences   map[string]uint64
	history  []loadSample
	boot     uint64
	dead     bool
	frozen   chan struct{} // closed when the hang or pause ends; nil if none
	hangNext bool          // hang when a run is next admitted
	endless  bool          // calls are answered with a head that has no end
	died     chan struct{} // closed when the engine dies
	counters Counters
	http     *http.Server
	closed   bool
}

// Counters is what an engine did since it was made, over all its lives.
type Counters struct {
	Runs       int64 `json:"runs"`         // sequences accepted
	Resumed    int64 `json:"resumed"`      // of these, with resume_from
	DoubleRuns int64 `json:"double_runs"`  // accepted under an id that had run before, not resumed
	Refused    int64 `json:"refused"`      // not run
	Finished   int64 `json:"finished"`     // ran to the end
	Cancelled  int64 `json:"cancelled"`    // cancelled by call or closed connection
	Killed     int64 `json:"killed"`       // deaths
	Lost       int64 `json:"lost"`         // sequences that died with the engine
	BadInput   int64 `json:"bad_input"`    // malformed or unknown
	Output     int64 `json:"output"`       // tokens generated
	Prefilled  int64 `json:"prefilled"`    // tokens prefilled
	PeakMemory int64 `json:"peak_memory"`  // tokens
	UsedMemory int64 `json:"used_memory"`  // tokens, now
	Exported   int64 `json:"exported"`     // exported segments, now
	StaleFence int64 `json:"stale_fences"` // orders refused
}

// New makes an engine without a socket; serve its Handler.
func New(cfg Config) *Server {
	s := &Server{
		cfg:    cfg.withDefaults(),
		wakeup: make(chan struct{}, 1),
		stop:   make(chan struct{}),
		boot:   1,
		fences: map[string]uint64{},
	}
	s.runs, _ = lru.New[string, int](countedIDs) // fails only on size <= 0
	s.reset()
	s.mux = s.routes()
	s.stopped.Go(s.loop)
	return s
}

// Start makes an engine that listens on a free port of 127.0.0.1 and returns it
// with its address, ip:port.
func Start(cfg Config) (*Server, string, error) { return StartOn(cfg, "127.0.0.1:0") }

// StartOn is Start on a given address.
func StartOn(cfg Config, address string) (*Server, string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", errors.Annotatef(err, "step listen, peer %s", address)
	}
	s := New(cfg)
	s.address = l.Addr().String()
	s.mu.Lock()
	s.serve(l)
	s.mu.Unlock()
	return s, s.address, nil
}

// serve starts an HTTP server on l. The caller holds mu.
func (s *Server) serve(l net.Listener) {
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	s.http = srv
	s.stopped.Go(func() { _ = srv.Serve(l) })
}

// reset empties what an engine loses when it dies. The caller holds mu, or is
// alone.
func (s *Server) reset() {
	s.sched = newScheduler(s.cfg)
	s.cache = newPrefixCache(s.cfg)
	s.sched.lookup, s.sched.store = s.cache.lookup, s.cache.store
	s.live = map[*sequence]struct{}{}
	s.byID = map[string]*sequence{}
	s.exported = map[string]*exported{}
	s.role = "mixed"
	s.models = map[string]Weights{}
	for _, m := range s.cfg.Models {
		s.models[m] = Weights{Name: m}
	}
	for _, w := range s.cfg.Weights {
		s.models[w.Name] = w
	}
	s.history = nil
	s.died = make(chan struct{})
}

// Close ends the engine and all its connections.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.dieLocked()
	close(s.stop)
	s.mu.Unlock()
	s.stopped.Wait()
}

// Address returns ip:port, empty for an engine made with New.
func (s *Server) Address() string { return s.address }

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Output += s.sched.tokens
	c.Prefilled += s.sched.prefills
	c.PeakMemory = max(c.PeakMemory, int64(s.sched.peak))
	c.UsedMemory = int64(s.sched.used)
	c.Exported = int64(len(s.exported))
	return c
}

// Runs returns how often a request id ran, resumed runs not counted.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := s.runs.Peek(id)
	return n
}

// loop is the engine's clock: it plans a step, sleeps until it is due and
// applies it. An idle engine sleeps until it is woken.
func (s *Server) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := time.Now()
	for {
		sched, cost, busy, frozen := s.beginStep()
		if frozen != nil {
			if !s.wait(frozen) {
				return
			}
			due = time.Now()
			continue
		}
		if !busy {
			if !s.wait(s.wakeup) {
				return
			}
			due = time.Now()
			continue
		}
		due = due.Add(cost)
		if late := time.Since(due); late > catchUp {
			due = time.Now()
		}
		if !s.sleep(timer, time.Until(due)) {
			return
		}
		s.finishStep(sched, cost)
	}
}

func (s *Server) wait(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-s.stop:
		return false
	}
}

func (s *Server) sleep(timer *time.Timer, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer.Reset(d)
	select {
	case <-timer.C:
		return true
	case <-s.stop:
		return false
	}
}

func (s *Server) beginStep() (sched *scheduler, cost time.Duration, busy bool, frozen chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		return nil, 0, false, s.frozen
	}
	cost, busy = s.sched.begin()
	if s.hangNext && len(s.sched.running) > 0 {
		s.hangNext = false
		s.hangLocked()
	}
	return s.sched, cost, busy, nil
}

// finishStep applies a step, unless the engine died during it.
func (s *Server) finishStep(sched *scheduler, cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sched != sched {
		return
	}
	for _, q := range sched.finish(cost) {
		s.forget(q)
		s.counters.Finished++
	}
	s.sampleLoad(time.Now())
}

func (s *Server) forget(q *sequence) {
	delete(s.live, q)
	if s.byID[q.id] == q {
		delete(s.byID, q.id)
	}
}

// submit accepts a sequence or says why it was not run.
func (s *Server) submit(q *sequence, resumed bool) (died <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		panic(http.ErrAbortHandler)
	}
	if err := s.sched.submit(q); err != nil {
		s.counters.Refused++
		return nil, err
	}
	s.countRun(q.id, resumed)
	s.live[q] = struct{}{}
	s.byID[q.id] = q
	s.sampleLoad(time.Now())
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	return s.died, nil
}

func (s *Server) countRun(id string, resumed bool) {
	s.counters.Runs++
	if resumed {
		s.counters.Resumed++
		return
	}
	n, _ := s.runs.Get(id)
	if n > 0 {
		s.counters.DoubleRuns++
	}
	s.runs.Add(id, n+1)
}

// cancel stops a sequence and frees its memory.
func (s *Server) cancel(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.live[q]; !ok {
		return
	}
	s.sched.remove(q)
	s.forget(q)
	s.counters.Cancelled++
	q.end(endCancelled)
	s.sampleLoad(time.Now())
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != faultPath {
		s.holdWhileFrozen(r.Context())
		s.mu.Lock()
		dead, endless := s.dead, s.endless
		s.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		if endless {
			answerWithoutEnd(w)
			return
		}
	}
	s.mux.ServeHTTP(w, r)
}

// holdWhileFrozen blocks while the engine hangs or is paused.
func (s *Server) holdWhileFrozen(ctx context.Context) {
	for {
		s.mu.Lock()
		frozen := s.frozen
		s.mu.Unlock()
		if frozen == nil {
			return
		}
		select {
		case <-frozen:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-s.stop:
			panic(http.ErrAbortHandler)
		}
	}
}

// kills reports whether a prompt is one that kills this engine.
func (s *Server) kills(prompt string) bool {
	return s.cfg.KillMarker != "" && strings.Contains(prompt, s.cfg.KillMarker)
}
