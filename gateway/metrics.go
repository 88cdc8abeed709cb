package gateway

import (
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/upstream"
)

// counters holds the metrics of what the gateway decides.
type counters struct {
	requests          metrics.Counter
	refused           map[Reason]metrics.Counter // not changed after newCounters
	attempts          metrics.Counter
	retries           metrics.Counter                // sends of a request beyond its first
	neverStarted      metrics.Counter                // attempts ended because they had not begun
	moved             metrics.Counter                // attempts ended for another server because they showed nothing
	movesDenied       map[moveDenial]metrics.Counter // by cause; not changed after newCounters
	resumedStreams    metrics.Counter
	brokenResponses   metrics.Counter // responses that ended early
	retriesOverBudget metrics.Counter
	callersGone       metrics.Counter // callers that disconnected first
	serverDeaths      metrics.Counter // servers that died while running a request
	limitChanges      metrics.Counter // changes of the request rates that servers name
	drainNotices      metrics.Counter // servers that announced in a response that they drain
	backOffNotices    metrics.Counter // times that servers named in which they want no requests
	// brokenAttempts counts attempts that broke, by what their server's address did then.
	// Not changed after newCounters.
	brokenAttempts   map[upstream.ProbeResult]metrics.Counter
	losses           lossCounters
	firstByteLatency metrics.Histogram
}

// lossCounters holds the metrics of lost servers.
type lossCounters struct {
	seen              map[lostservers.Kind]metrics.Counter // times that a server was seen not to serve; not changed after newCounters
	reported          metrics.Counter                      // of these, reported to other entries
	placedWithoutLost metrics.Counter                      // placements that left out lost servers
}

// sampleSize and sampleAlpha are the values that go-metrics recommends for latencies.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("gateway."+name, r) }
	t := counters{
		requests:          counter("requests"),
		refused:           map[Reason]metrics.Counter{},
		attempts:          counter("attempts"),
		retries:           counter("attempts.again"),
		neverStarted:      counter("attempts.given_up"),
		moved:             counter("attempts.moved"),
		movesDenied:       map[moveDenial]metrics.Counter{},
		resumedStreams:    counter("streams.resumed"),
		brokenResponses:   counter("answers.broken"),
		retriesOverBudget: counter("retries.over_budget"),
		callersGone:       counter("callers.gone"),
		serverDeaths:      counter("servers.died"),
		limitChanges:      counter("servers.limit_changes"),
		drainNotices:      counter("servers.drain_notices"),
		backOffNotices:    counter("servers.back_off_notices"),
		brokenAttempts:    map[upstream.ProbeResult]metrics.Counter{},
		firstByteLatency: metrics.GetOrRegisterHistogram("gateway.first_byte_ms", r,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	t.losses = lossCounters{
		seen:              map[lostservers.Kind]metrics.Counter{},
		reported:          counter("servers.lost.reported"),
		placedWithoutLost: counter("placed.without_lost"),
	}
	for _, kind := range lostservers.Kinds() {
		t.losses.seen[kind] = counter("servers.lost." + kind.String())
	}
	for _, found := range []upstream.ProbeResult{upstream.ProbeSilent, upstream.ProbeRefused, upstream.ProbeAccepted} {
		t.brokenAttempts[found] = counter("attempts.broken." + found.String())
	}
	for _, cause := range moveDenials {
		t.movesDenied[cause] = counter("attempts.move_denied." + string(cause))
	}
	for _, reason := range allReasons {
		t.refused[reason] = counter("refused." + string(reason))
	}
	return t
}
