package peering

import (
	"time"

	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// One entry learns from a single response that a server names a request rate, and all entries
// must keep to it. A change is sent at once; heartbeats repeat what the entry has observed
// itself, since datagrams can be lost and an observation applies for a limited time.
const (
	// noticeRepeatPeriod is the age up to which heartbeats repeat what a server's response
	// announced: four times.
	noticeRepeatPeriod = 2 * time.Second
	// maxRatesPerMessage is the maximum number of rates in a datagram of 1,200 bytes.
	maxRatesPerMessage = 45
)

// ReportLimit implements gateway.LimitReporter.
func (o *outbox) ReportLimit(observation serverlimit.Observation) {
	o.mu.Lock()
	o.limits = append(o.limits, observation)
	o.mu.Unlock()
	o.signal()
}

// limitMessages packs observations into messages that each fit a datagram.
func limitMessages(owner uint64, list []serverlimit.Observation) []*wirepb.WorkNews {
	return packNews(owner, list, maxRatesPerMessage, func(m *wirepb.WorkNews, observation serverlimit.Observation) {
		m.Rates = append(m.Rates, encodeRate(observation))
	})
}

// repeatLimits sends the entry's own recent observations again. They aren't urgent, and go
// through relays.
func (x *Exchange) repeatLimits(now time.Time) {
	for _, m := range limitMessages(x.cfg.Incarnation, x.cfg.Limits.OwnObservations(noticeRepeatPeriod, now)) {
		x.broadcastRelayed(m)
	}
}

// handleRates merges the observations of a peer.
func (x *Exchange) handleRates(rates []*wirepb.ServerRate, now time.Time) {
	for _, r := range rates {
		x.cfg.Limits.Merge(decodeRate(r), now)
	}
}

// encodeRate converts an observation of a server's rate to its message.
func encodeRate(o serverlimit.Observation) *wirepb.ServerRate {
	return &wirepb.ServerRate{
		Server:    o.Server,
		PerSecond: min(o.PerSecond, wire.MaxRatePerSecond),
		AgeMs:     uint64(max(o.Age, 0).Milliseconds()),
	}
}

// decodeRate converts a message that passed wire.Check.
func decodeRate(m *wirepb.ServerRate) serverlimit.Observation {
	return serverlimit.Observation{
		Server:    m.GetServer(),
		PerSecond: m.GetPerSecond(),
		Age:       time.Duration(m.GetAgeMs()) * time.Millisecond,
	}
}
