package agent

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// counters are the agent's counters since its start.
type counters struct {
	registry    metrics.Registry
	admitted    metrics.Counter // agent.admitted: admitted runs
	overgrown   metrics.Counter // agent.overgrown: chunks of runs that use more tokens than they reserved
	orphans     metrics.Counter // agent.orphans: runs and segments at the engine that the ledger does not have
	deaths      metrics.Counter // agent.engine_deaths
	orders      metrics.Counter // agent.orders: executed orders
	staleFences metrics.Counter // agent.stale_fences: orders refused because of a stale fence
}

func newCounters(r metrics.Registry) counters {
	return counters{
		registry:    r,
		admitted:    metrics.GetOrRegisterCounter("agent.admitted", r),
		overgrown:   metrics.GetOrRegisterCounter("agent.overgrown", r),
		orphans:     metrics.GetOrRegisterCounter("agent.orphans", r),
		deaths:      metrics.GetOrRegisterCounter("agent.engine_deaths", r),
		orders:      metrics.GetOrRegisterCounter("agent.orders", r),
		staleFences: metrics.GetOrRegisterCounter("agent.stale_fences", r),
	}
}

// refused returns the counter of refusals with a code, agent.refused.CODE.
func (c counters) refused(code wirepb.RefuseCode) metrics.Counter {
	name := strings.ToLower(strings.TrimPrefix(code.String(), "REFUSE_"))
	return metrics.GetOrRegisterCounter("agent.refused."+name, c.registry)
}

// ended returns the counter of ends with a code, agent.ended.CODE.
func (c counters) ended(code wirepb.EndCode) metrics.Counter {
	name := strings.ToLower(strings.TrimPrefix(code.String(), "END_"))
	return metrics.GetOrRegisterCounter("agent.ended."+name, c.registry)
}

// exportGauges registers gauges of the ledger's runs, holds and tokens, and of
// the limit of long prefill.
func (a *Agent) exportGauges(r metrics.Registry) {
	gauge := func(name string, value func(backend.LedgerState) int64) {
		read := func() int64 { return value(a.ledger.State()) }
		_ = r.Register("agent."+name, metrics.NewFunctionalGauge(read))
	}
	gauge("runs", func(s backend.LedgerState) int64 { return int64(s.Runs) })
	gauge("holds", func(s backend.LedgerState) int64 { return int64(s.Holds) })
	gauge("held_tokens", func(s backend.LedgerState) int64 { return s.Held })
	gauge("used_tokens", func(s backend.LedgerState) int64 { return s.Used })
	_ = r.Register("agent.long_prefill_limit", metrics.NewFunctionalGauge(a.longPrefillLimit))
	gauge("excess_tokens", func(s backend.LedgerState) int64 { return s.Excess })
	gauge("earmarked_tokens", func(s backend.LedgerState) int64 { return s.Earmarked })
}
