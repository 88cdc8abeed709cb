package declared

import "github.com/rcrowley/go-metrics"

// counters are the metrics of a Catalog. declared.stale counts objects that
// were not newer than the known version, mostly duplicate deliveries.
type counters struct {
	applied, stale, refused, gaps, storeBehind metrics.Counter
	revision                                   metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("declared."+name, r) }
	return counters{
		applied:     counter("applied"),
		stale:       counter("stale"),
		refused:     counter("refused"),
		gaps:        counter("gaps"),
		storeBehind: counter("store_behind"),
		revision:    metrics.GetOrRegisterGauge("declared.revision", r),
	}
}

func (t counters) record(r ApplyResult) {
	t.applied.Inc(int64(r.Applied))
	t.stale.Inc(int64(r.Stale))
	t.refused.Inc(int64(len(r.Refused)))
}
