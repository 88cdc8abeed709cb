package peering

import (
	"slices"
	"time"

	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// A part of prompts that crashes servers is refused in time only if every entry knows of every death
// under it, since each entry may see only one. Reports are sent at once and repeated by heartbeats, as
// for deaths of single requests; so are the successes that clear the other parts.

const (
	// partRepeatPeriod is the time in which each heartbeat repeats a report: four times.
	partRepeatPeriod = 2 * time.Second
	// maxRepeatedParts bounds the reports of each kind that are repeated; the oldest are dropped.
	maxRepeatedParts = 256
	// maxSyncedParts is the maximum number of parts that are sent to one peer that starts or
	// returns, those of the newest deaths.
	maxSyncedParts = 2000
	// partsPerDatagram is the total number of parts, and of messages about them weighted with
	// partMessageWeight parts each, in a datagram of 1,200 bytes.
	partsPerDatagram = 120
	// partMessageWeight is the size of a message without its parts, in parts. Names of a
	// scope take most of it.
	partMessageWeight = 20
)

// clearedParts is a success of parts.
type clearedParts struct {
	parts []quarantine.Part
	at    time.Time
}

// partReports are reports of parts that are pending or repeated. The lock of its owner guards it.
type partReports struct {
	deaths  []quarantine.PartDeath
	cleared []clearedParts
}

func (r *partReports) empty() bool { return len(r.deaths)+len(r.cleared) == 0 }

// add appends the reports of other and drops the oldest over maxRepeatedParts.
func (r *partReports) add(other partReports) {
	r.deaths = append(r.deaths, other.deaths...)
	r.deaths = r.deaths[max(len(r.deaths)-maxRepeatedParts, 0):]
	r.cleared = append(r.cleared, other.cleared...)
	r.cleared = r.cleared[max(len(r.cleared)-maxRepeatedParts, 0):]
}

// expire drops the reports of what happened more than partRepeatPeriod ago.
func (r *partReports) expire(now time.Time) {
	r.deaths = slices.DeleteFunc(r.deaths, func(d quarantine.PartDeath) bool { return now.Sub(d.Ended) > partRepeatPeriod })
	r.cleared = slices.DeleteFunc(r.cleared, func(c clearedParts) bool { return now.Sub(c.at) > partRepeatPeriod })
}

// ReportPartDeath implements gateway.DeathReporter.
func (o *outbox) ReportPartDeath(d quarantine.PartDeath) {
	o.reportParts(partReports{deaths: []quarantine.PartDeath{d}})
}

// ReportPartsCleared implements gateway.DeathReporter.
func (o *outbox) ReportPartsCleared(parts []quarantine.Part, at time.Time) {
	o.reportParts(partReports{cleared: []clearedParts{{parts, at}}})
}

func (o *outbox) reportParts(r partReports) {
	o.mu.Lock()
	o.parts.add(r)
	o.mu.Unlock()
	o.signal()
}

// recentParts returns the reports to repeat.
func (o *outbox) recentParts(now time.Time) partReports {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reportedParts.expire(now)
	return partReports{deaths: slices.Clone(o.reportedParts.deaths), cleared: slices.Clone(o.reportedParts.cleared)}
}

// partMessages packs reports into messages that each fit a datagram.
func partMessages(owner uint64, r partReports, now time.Time) []*wirepb.WorkNews {
	p := partPacker{owner: owner}
	for _, d := range wire.PartDeathsToProto(r.deaths, now) {
		m := p.next(len(d.GetParts()))
		m.PartDeaths = append(m.PartDeaths, d)
	}
	for _, c := range r.cleared {
		for parts := range slices.Chunk(c.parts, wire.MaxPartsPerMessage) {
			m := p.next(len(parts))
			m.PartsCleared = append(m.PartsCleared, wire.PartsClearedToProto(parts, c.at, now))
		}
	}
	return p.messages
}

// partPacker fills one message after the other.
type partPacker struct {
	owner    uint64
	messages []*wirepb.WorkNews
	room     int // in parts, of the last message
}

// next returns the message for a report with so many parts.
func (p *partPacker) next(parts int) *wirepb.WorkNews {
	size := partMessageWeight + parts
	if len(p.messages) == 0 || size > p.room {
		p.messages = append(p.messages, &wirepb.WorkNews{Owner: p.owner})
		p.room = partsPerDatagram
	}
	p.room -= size
	return p.messages[len(p.messages)-1]
}

// repeatParts sends the recent reports again.
func (x *Exchange) repeatParts(now time.Time) {
	for _, m := range partMessages(x.cfg.Incarnation, x.outbox.recentParts(now), now) {
		x.broadcast(m)
	}
}

// knownPartDeaths returns the deaths that count against parts, for a peer that starts or returns.
func (x *Exchange) knownPartDeaths(now time.Time) partReports {
	deaths := x.cfg.Parts.Deaths(now)
	first, total := len(deaths), 0
	for first > 0 && total+len(deaths[first-1].Parts) <= maxSyncedParts {
		first--
		total += len(deaths[first].Parts)
	}
	return partReports{deaths: deaths[first:]}
}

// handleParts merges the reports of a peer.
func (x *Exchange) handleParts(m *wirepb.WorkNews, now time.Time) {
	wire.MergePartDeaths(x.cfg.Parts, m.GetPartDeaths(), now)
	for _, c := range m.GetPartsCleared() {
		x.cfg.Parts.Clear(wire.PartsClearedFromProto(c, now))
	}
}
