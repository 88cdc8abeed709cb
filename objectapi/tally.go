package objectapi

import (
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

// callTally counts a client's calls and how they ended, as counters
// platform.calls.KIND, platform.errors.CAUSE, platform.retries and
// platform.own_limit (calls that the client's own limit refused).
type callTally struct {
	calls    map[string]metrics.Counter // fixed after newCallTally
	causes   []causeCounter
	retries  metrics.Counter
	ownLimit metrics.Counter
}

type causeCounter struct {
	err     error
	counter metrics.Counter
}

func newCallTally(r metrics.Registry) *callTally {
	t := &callTally{
		calls:    map[string]metrics.Counter{},
		retries:  metrics.GetOrRegisterCounter("platform.retries", r),
		ownLimit: metrics.GetOrRegisterCounter("platform.own_limit", r),
	}
	for _, call := range []string{"get", "list", "create", "update", "delete", "watch"} {
		t.calls[call] = metrics.GetOrRegisterCounter("platform.calls."+call, r)
	}
	add := func(err error, name string) {
		t.causes = append(t.causes, causeCounter{err, metrics.GetOrRegisterCounter("platform.errors."+name, r)})
	}
	add(ErrOutcomeUnknown, "outcome_unknown")
	for _, ce := range codeErrors {
		add(ce.Err, ce.Code)
	}
	return t
}

func (t *callTally) count(call string, err error) {
	t.calls[call].Inc(1)
	if err == nil {
		return
	}
	for _, c := range t.causes {
		if errors.Is(err, c.err) {
			c.counter.Inc(1)
			return
		}
	}
}
