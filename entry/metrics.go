package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/request"
)

// entryMetrics holds the entry's metrics. Counters by reason are registered when
// they first occur; the reasons are constants, so their number is bounded.
type entryMetrics struct {
	registry      metrics.Registry
	received      metrics.Counter
	finished      metrics.Counter
	failed        metrics.Counter
	attempts      metrics.Counter
	refusals      metrics.Counter
	resumes       metrics.Counter
	retries       metrics.Counter
	groups        metrics.Counter
	holdsFailed   metrics.Counter
	ttft          [request.ClassCount]metrics.Timer
	dispatchDelay metrics.Timer // from arrival to the first attempt, including queueing
	total         metrics.Timer
}

func newEntryMetrics(r metrics.Registry) entryMetrics {
	m := entryMetrics{
		registry:      r,
		received:      metrics.GetOrRegisterCounter("entry.received", r),
		finished:      metrics.GetOrRegisterCounter("entry.finished", r),
		failed:        metrics.GetOrRegisterCounter("entry.failed", r),
		attempts:      metrics.GetOrRegisterCounter("entry.attempts", r),
		refusals:      metrics.GetOrRegisterCounter("entry.refusals", r),
		resumes:       metrics.GetOrRegisterCounter("entry.resumes", r),
		retries:       metrics.GetOrRegisterCounter("entry.retries", r),
		groups:        metrics.GetOrRegisterCounter("entry.groups", r),
		holdsFailed:   metrics.GetOrRegisterCounter("entry.holds.failed", r),
		dispatchDelay: metrics.GetOrRegisterTimer("entry.dispatch", r),
		total:         metrics.GetOrRegisterTimer("entry.total", r),
	}
	for c := range request.ClassCount {
		m.ttft[c] = metrics.GetOrRegisterTimer("entry.ttft."+c.Name(), r)
	}
	return m
}

// countFailure counts a failure by code and reason.
func (m *entryMetrics) countFailure(f *request.Failure) {
	m.failed.Inc(1)
	m.count("entry.failed." + string(f.Code) + "." + f.Reason)
}

func (m *entryMetrics) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *entryMetrics) recordTTFT(c request.Class, d time.Duration) { m.ttft[c].Update(d) }
