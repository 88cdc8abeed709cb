package engine

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/briarturn/briarturn/request"
)

// samplesPerLag is how many load samples are kept over one LoadLag.
const samplesPerLag = 8

// loadReport is the body of GET /load.
type loadReport struct {
	Running        int           `json:"running"`
	Waiting        int           `json:"waiting"`
	PrefillShort   int           `json:"prefill_short"`
	PrefillLong    int           `json:"prefill_long"`
	UsedTokens     int           `json:"used_tokens"`
	CapacityTokens int           `json:"capacity_tokens"`
	Requests       []loadRequest `json:"requests"`
	Boot           string        `json:"boot"`
}

// loadRequest is a running, waiting or exported request; Handle is set for an
// exported segment.
type loadRequest struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	Handle string `json:"handle,omitempty"`
}

type loadSample struct {
	at     time.Time
	report loadReport
}

// takeLoad describes the present state. The caller holds mu.
func (s *Server) takeLoad() loadReport {
	r := loadReport{
		Running:        len(s.sched.running),
		Waiting:        len(s.sched.waiting),
		UsedTokens:     s.sched.used,
		CapacityTokens: s.cfg.MemoryTokens,
		Requests:       make([]loadRequest, 0, len(s.live)+len(s.exported)),
		Boot:           strconv.FormatUint(s.boot, 10),
	}
	for _, q := range s.sched.running {
		r.add(q)
	}
	for _, q := range s.sched.waiting {
		r.add(q)
	}
	for _, e := range s.exported {
		r.Requests = append(r.Requests, loadRequest{ID: e.id, Tokens: e.tokens, Handle: e.handle})
	}
	slices.SortFunc(r.Requests, func(a, b loadRequest) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

func (r *loadReport) add(q *sequence) {
	if q.prompt >= request.LargeTokens {
		r.PrefillLong += q.left
	} else {
		r.PrefillShort += q.left
	}
	r.Requests = append(r.Requests, loadRequest{ID: q.id, Tokens: q.kv})
}

// sampleLoad keeps what GET /load will show after LoadLag. The caller holds mu.
func (s *Server) sampleLoad(now time.Time) {
	if s.cfg.LoadLag <= 0 {
		return
	}
	idle := len(s.live) == 0
	if n := len(s.history); n > 0 && !idle && now.Sub(s.history[n-1].at) < s.cfg.LoadLag/samplesPerLag {
		return
	}
	s.pruneLoad(now)
	s.history = append(s.history, loadSample{at: now, report: s.takeLoad()})
}

// pruneLoad drops samples that a later one has replaced. The caller holds mu.
func (s *Server) pruneLoad(now time.Time) {
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.cfg.LoadLag {
		s.history = s.history[1:]
	}
}

// laggingLoad returns the newest state that is LoadLag old.
func (s *Server) laggingLoad(now time.Time) loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.LoadLag <= 0 {
		return s.takeLoad()
	}
	s.pruneLoad(now)
	if len(s.history) > 0 && now.Sub(s.history[0].at) >= s.cfg.LoadLag {
		return s.history[0].report
	}
	return loadReport{CapacityTokens: s.cfg.MemoryTokens, Requests: []loadRequest{},
		Boot: strconv.FormatUint(s.boot, 10)}
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.laggingLoad(time.Now()))
}
