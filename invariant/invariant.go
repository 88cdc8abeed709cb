// Package invariant provides named checks that are always evaluated and counted. A
// violation panics in tests and in the dev run, where an invalid state must not go
// unnoticed. In production it is counted and reported, since continuing is
// better than dropping all requests in progress.
package invariant

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// Invariant is one named check. Create it once, at package level, with New.
type Invariant struct {
	name     string
	doc      string
	checked  atomic.Int64
	violated atomic.Int64
}

// Count holds the counters of one invariant.
type Count struct {
	Name     string `json:"name"`
	Doc      string `json:"doc"`
	Checked  int64  `json:"checked"`
	Violated int64  `json:"violated"`
}

var (
	mu               sync.Mutex // guards registry and violationHandler
	registry         = map[string]*Invariant{}
	violationHandler func(name, detail string)
	panicOnViolation atomic.Bool
)

func init() { panicOnViolation.Store(testing.Testing()) }

// New registers an invariant. It panics if the name is already registered, since two
// checks under one name would hide each other's counts.
func New(name, doc string) *Invariant {
	mu.Lock()
	defer mu.Unlock()
	if _, ok := registry[name]; ok {
		panic("invariant registered twice: " + name)
	}
	iv := &Invariant{name: name, doc: doc}
	registry[name] = iv
	return iv
}

// SetPanic makes violations panic (tests, dev) or only be counted (production).
func SetPanic(on bool) { panicOnViolation.Store(on) }

// SetViolationHandler sets a function that is called for each violation, for logging.
func SetViolationHandler(f func(name, detail string)) {
	mu.Lock()
	defer mu.Unlock()
	violationHandler = f
}

// Check counts one evaluation and returns ok. If ok is false it counts a violation,
// calls the violation handler and, if SetPanic is on, panics.
func (iv *Invariant) Check(ok bool, format string, args ...any) bool {
	iv.checked.Add(1)
	if ok {
		return true
	}
	iv.violated.Add(1)
	detail := fmt.Sprintf(format, args...)
	mu.Lock()
	report := violationHandler
	mu.Unlock()
	if report != nil {
		report(iv.name, detail)
	}
	if panicOnViolation.Load() {
		panic("invariant " + iv.name + ": " + detail)
	}
	return false
}

// Counts returns the counters of all invariants, sorted by name.
func Counts() []Count {
	mu.Lock()
	defer mu.Unlock()
	out := make([]Count, 0, len(registry))
	for _, iv := range registry {
		out = append(out, Count{iv.name, iv.doc, iv.checked.Load(), iv.violated.Load()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// RegisterMetrics registers gauges invariant.NAME.checked and .violated for every
// invariant registered so far.
func RegisterMetrics(r metrics.Registry) {
	mu.Lock()
	defer mu.Unlock()
	for name, iv := range registry {
		_ = r.Register("invariant."+name+".checked", metrics.NewFunctionalGauge(iv.checked.Load))
		_ = r.Register("invariant."+name+".violated", metrics.NewFunctionalGauge(iv.violated.Load))
	}
}
