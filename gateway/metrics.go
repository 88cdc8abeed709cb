package gateway

import (
	"github.com/rcrowley/go-metrics"
)

// tally counts what the gateway decides.
type tally struct {
	requests   metrics.Counter
	refused    map[Reason]metrics.Counter // fixed after newTally
	attempts   metrics.Counter
	again      metrics.Counter // sends beyond the first
	givenUp    metrics.Counter // ended because they had not begun
	resumed    metrics.Counter
	broken     metrics.Counter // answers that ended early
	overBudget metrics.Counter
	gone       metrics.Counter // callers that left first
	deaths     metrics.Counter // servers that died under a request
	latency    metrics.Histogram
}

// sampleSize and sampleAlpha are those that go-metrics recommends for latencies.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func newTally(r metrics.Registry) tally {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("gateway."+name, r) }
	t := tally{
		requests:   counter("requests"),
		refused:    map[Reason]metrics.Counter{},
		attempts:   counter("attempts"),
		again:      counter("attempts.again"),
		givenUp:    counter("attempts.given_up"),
		resumed:    counter("streams.resumed"),
		broken:     counter("answers.broken"),
		overBudget: counter("retries.over_budget"),
		gone:       counter("callers.gone"),
		deaths:     counter("servers.died"),
		latency: metrics.GetOrRegisterHistogram("gateway.first_byte_ms", r,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	for _, reason := range reasons {
		t.refused[reason] = counter("refused." + string(reason))
	}
	return t
}
