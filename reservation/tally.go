package reservation

import "github.com/rcrowley/go-metrics"

// tally counts what becomes of reservations.
type tally struct {
	neverUsed metrics.Counter   // released without a sign that a prompt used them
	firstUse  metrics.Histogram // milliseconds from reserving to the first token
}

// sampleSize and sampleAlpha are those that go-metrics recommends for latencies.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func newTally(r metrics.Registry) tally {
	return tally{
		neverUsed: metrics.GetOrRegisterCounter("reservation.never_used", r),
		firstUse: metrics.GetOrRegisterHistogram("reservation.first_use_ms", r,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}
