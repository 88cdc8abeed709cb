package declared

import "github.com/rcrowley/go-metrics"

// tally is the counters of a Catalog. declared.stale counts objects that were
// no news, most of them doubled deliveries.
type tally struct {
	applied, stale, refused, gaps, storeBehind metrics.Counter
	revision                                   metrics.Gauge
}

func newTally(r metrics.Registry) tally {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("declared."+name, r) }
	return tally{
		applied:     counter("applied"),
		stale:       counter("stale"),
		refused:     counter("refused"),
		gaps:        counter("gaps"),
		storeBehind: counter("store_behind"),
		revision:    metrics.GetOrRegisterGauge("declared.revision", r),
	}
}

func (t tally) count(r ApplyResult) {
	t.applied.Inc(int64(r.Applied))
	t.stale.Inc(int64(r.Stale))
	t.refused.Inc(int64(len(r.Refused)))
}
