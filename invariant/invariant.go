// Package invariant holds named checks that are always evaluated and counted.
// A violated check panics in tests and in the dev run, where a wrong state must
// not be passed over, and is counted and reported once a name in production,
// where going on is better than dropping every request in progress.
package invariant

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// Invariant is one named check. Make it once, at package level, with New.
type Invariant struct {
	name     string
	doc      string
	checked  atomic.Int64
	violated atomic.Int64
}

// Count is the tally of one invariant.
type Count struct {
	Name     string `json:"name"`
	Doc      string `json:"doc"`
	Checked  int64  `json:"checked"`
	Violated int64  `json:"violated"`
}

var (
	mu        sync.Mutex // guards all and onBreak
	all       = map[string]*Invariant{}
	onBreak   func(name, detail string)
	panicking atomic.Bool
)

func init() { panicking.Store(testing.Testing()) }

// New registers an invariant. A second New of the same name panics: two checks
// under one name would hide each other's counts.
func New(name, doc string) *Invariant {
	mu.Lock()
	defer mu.Unlock()
	if _, ok := all[name]; ok {
		panic("invariant registered twice: " + name)
	}
	iv := &Invariant{name: name, doc: doc}
	all[name] = iv
	return iv
}

// SetPanic makes violations panic (tests, dev) or only count (production).
func SetPanic(on bool) { panicking.Store(on) }

// SetViolationHandler sets a function that is told of each violation, for the log.
func SetViolationHandler(f func(name, detail string)) {
	mu.Lock()
	defer mu.Unlock()
	onBreak = f
}

// Check counts one evaluation and returns ok. If ok is false it counts a
// violation and, where SetPanic is on, panics.
func (iv *Invariant) Check(ok bool, format string, args ...any) bool {
	iv.checked.Add(1)
	if ok {
		return true
	}
	iv.violated.Add(1)
	detail := fmt.Sprintf(format, args...)
	mu.Lock()
	report := onBreak
	mu.Unlock()
	if report != nil {
		report(iv.name, detail)
	}
	if panicking.Load() {
		panic("invariant " + iv.name + ": " + detail)
	}
	return false
}

// Counts returns the tallies of all invariants, by name.
func Counts() []Count {
	mu.Lock()
	defer mu.Unlock()
	out := make([]Count, 0, len(all))
	for _, iv := range all {
		out = append(out, Count{iv.name, iv.doc, iv.checked.Load(), iv.violated.Load()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// RegisterMetrics registers gauges invariant.NAME.checked and .violated for every
// invariant known so far.
func RegisterMetrics(r metrics.Registry) {
	mu.Lock()
	defer mu.Unlock()
	for name, iv := range all {
		_ = r.Register("invariant."+name+".checked", metrics.NewFunctionalGauge(iv.checked.Load))
		_ = r.Register("invariant."+name+".violated", metrics.NewFunctionalGauge(iv.violated.Load))
	}
}
