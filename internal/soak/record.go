package soak

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/platform/standin"
)

// Outcome is how a request ended, as its caller saw it.
type Outcome string

// Outcomes.
const (
	Whole   Outcome = "whole"    // the right answer, all of it
	NotRun  Outcome = "not_run"  // a refusal that says so
	Denied  Outcome = "denied"   // by its key or route
	Unknown Outcome = "unknown"  // any other failure with an answer
	Broken  Outcome = "broken"   // the connection ended without a whole answer
	NoEntry Outcome = "no_entry" // no connection
	Wrong   Outcome = "wrong"    // an answer that isn't the request's own, or not as it was made
)

// request is one request of a caller.
type request struct {
	ID      string
	Path    string
	Key     string
	Entry   int
	Sent    time.Time
	Ended   time.Time
	Outcome Outcome
	Detail  string
	Crashes bool // it has a part that crashes servers
}

// arrival is one that reached a server.
type arrival struct {
	standin.ReceivedRequest
	At time.Time
}

// evacuated is a zone that was evacuated.
type evacuated struct {
	zone     string
	from, to time.Time // from the store's word of it to the moment at which it was taken back
}

// cold is a server that became cold.
type cold struct {
	instance string
	from, to time.Time // from the store's word of it
}

// span is a fault that was brought about.
type span struct {
	Step
	From, To time.Time
}

// record is what a run has seen. It is safe for concurrent use; mu guards all fields.
type record struct {
	mu        sync.Mutex
	requests  []request
	arrivals  []arrival
	spans     []span
	zones     map[string]string // of each server
	evacuated []evacuated
	cold      []cold
	needs     []need
	crashes   []crash
	endless   []standin.ReceivedRequest // responses without end
	revoked   time.Time                 // when the store acknowledged that the key is gone
	settled   bool                      // all entries served again after the last fault
	ended     []string                  // processes that ended without being told to
	stuck     []string                  // entries that didn't end within their grace
}

func (r *record) request(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

func (r *record) arrival(a standin.ReceivedRequest, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{ReceivedRequest: a, At: at})
}

func (r *record) server(instance, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zones == nil {
		r.zones = map[string]string{}
	}
	r.zones[instance] = zone
}

func (r *record) evacuation(e evacuated) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = append(r.evacuated, e)
}

func (r *record) coldness(c cold) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = append(r.cold, c)
}

func (r *record) span(s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans = append(r.spans, s)
}
