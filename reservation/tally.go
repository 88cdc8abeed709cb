package reservation

import "github.com/rcrowley/go-metrics"

// reservationMetrics counts the outcomes of reservations.
type reservationMetrics struct {
	neverUsed metrics.Counter   // released without any sign that a prompt used them
	firstUse  metrics.Histogram // milliseconds from the reservation to the first token
}

// sampleSize and sampleAlpha are the values that go-metrics recommends for latencies.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func newReservationMetrics(r metrics.Registry) reservationMetrics {
	return reservationMetrics{
		neverUsed: metrics.GetOrRegisterCounter("reservation.never_used", r),
		firstUse: metrics.GetOrRegisterHistogram("reservation.first_use_ms", r,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}
