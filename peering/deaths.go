package peering

import (
	"slices"
	"time"

	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// A request that kills servers is refused by every entry only if every entry knows of the
// deaths. Reports are datagrams and can be lost, an entry may start after them, and one
// that was cut off has missed them.
const (
	// deathRepeatPeriod is how long each heartbeat repeats a report: four times.
	deathRepeatPeriod = 2 * time.Second
	// maxDeathsPerMessage is the maximum number of deaths in a datagram of 1,200 bytes.
	maxDeathsPerMessage = 24
	// maxCompletedPerMessage is the same for completed fingerprints.
	maxCompletedPerMessage = 100
)

// reportedDeath is a death that this entry has reported.
type reportedDeath struct {
	record quarantine.Record
	at     time.Time
}

// agedTo returns the record with its times relative to now.
func (d reportedDeath) agedTo(now time.Time) quarantine.Record {
	r := d.record
	passed := now.Sub(d.at)
	r.Age += passed
	r.TTL = max(r.TTL-passed, time.Millisecond) // 0 would mean unknown
	return r
}

// recentDeaths returns the deaths that were reported within deathRepeatPeriod.
func (o *outbox) recentDeaths(now time.Time) []quarantine.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reported = slices.DeleteFunc(o.reported, func(d reportedDeath) bool { return now.Sub(d.at) > deathRepeatPeriod })
	out := make([]quarantine.Record, len(o.reported))
	for i, d := range o.reported {
		out[i] = d.agedTo(now)
	}
	return out
}

// forgetDeaths stops the repetition of reports about a fingerprint.
func (o *outbox) forgetDeaths(fingerprint uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reported = slices.DeleteFunc(o.reported, func(d reportedDeath) bool { return d.record.Fingerprint == fingerprint })
}

// completionMessages packs completed fingerprints into messages that each fit a datagram.
func completionMessages(owner uint64, completed []uint64) []*wirepb.WorkNews {
	return packNews(owner, completed, maxCompletedPerMessage, func(m *wirepb.WorkNews, fingerprint uint64) {
		m.Completed = append(m.Completed, fingerprint)
	})
}

// handleCompletions clears the fingerprints that ran to their end at a peer.
func (x *Exchange) handleCompletions(completed []uint64, now time.Time) {
	for _, fingerprint := range completed {
		if x.cfg.Quarantine.Clear(fingerprint, now) {
			x.outbox.forgetDeaths(fingerprint)
		}
	}
}

// deathMessages packs deaths into messages that each fit a datagram.
func deathMessages(owner uint64, deaths []quarantine.Record) []*wirepb.WorkNews {
	return packNews(owner, deaths, maxDeathsPerMessage, func(m *wirepb.WorkNews, r quarantine.Record) {
		m.Evidence = append(m.Evidence, wire.EvidenceToProto(r))
	})
}

// repeatDeaths sends the reports of the last deathRepeatPeriod again.
func (x *Exchange) repeatDeaths(now time.Time) {
	for _, m := range deathMessages(x.cfg.Incarnation, x.outbox.recentDeaths(now)) {
		x.broadcast(m)
	}
}
