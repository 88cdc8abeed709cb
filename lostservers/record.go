package lostservers

import (
	"slices"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

// record holds the evidence on one instance, whatever starts of it the sources know.
type record struct {
	byEntry    map[uint64]testimony // newest of each source, by its incarnation
	reportedAt boottime.Instant     // when the own evidence was last reported
	trialUntil boottime.Instant     // this entry sends no other request until then
	peerLifeAt boottime.Instant     // when another entry last received something from the server
}

// testimony is the evidence of one source.
type testimony struct {
	Evidence
	link string // as in Source
}

// put stores the newest evidence of a source. Of too many sources the one with the oldest evidence
// is dropped.
func (r *record) put(source Source, e Evidence) {
	held, known := r.byEntry[source.Entry]
	if known && held.SeenAt >= e.SeenAt {
		return
	}
	if !known && len(r.byEntry) >= maxSources {
		r.dropOldest()
	}
	r.byEntry[source.Entry] = testimony{Evidence: e, link: source.Link}
}

func (r *record) dropOldest() {
	oldest, found := uint64(0), false
	for entry, e := range r.byEntry {
		if !found || e.SeenAt < r.byEntry[oldest].SeenAt {
			oldest, found = entry, true
		}
	}
	delete(r.byEntry, oldest)
}

// othersReported reports whether enough other entries have just reported what this entry has seen.
func (r *record) othersReported(self uint64, own Evidence) bool {
	n := 0
	for entry, e := range r.byEntry {
		same := e.Kind.conclusive() && e.Server.StartedUnixMs == own.Server.StartedUnixMs
		if entry != self && same && own.SeenAt.Sub(e.SeenAt) < reportInterval {
			n++
		}
	}
	return n >= sufficientReports
}

// expire drops the evidence that is older than retention, and reports whether none is left.
func (r *record) expire(now boottime.Instant) bool {
	for entry, e := range r.byEntry {
		if now.Sub(e.SeenAt) >= retention {
			delete(r.byEntry, entry)
		}
	}
	return len(r.byEntry) == 0
}

// stands reports whether the evidence of an entry counts now against a start of its server, from
// which this entry received something last at life. What another entry received ends all evidence but this
// entry's own of silence, which may be due to a link that the other doesn't use.
func (r *record) stands(entry, self uint64, startedUnixMs int64, life, now boottime.Instant) bool {
	e := r.byEntry[entry]
	if entry != self || e.Kind.conclusive() {
		life = max(life, r.peerLifeAt)
	}
	return e.appliesTo(startedUnixMs) && life < e.SeenAt.Add(transitTime) && now.Sub(e.SeenAt) < retention
}

// verdict is what the evidence on one start of a server amounts to.
type verdict struct {
	lost      bool             // the evidence suffices for this entry
	confirmed bool             // this entry, or more than one other, says so
	newest    boottime.Instant // of the evidence
	kind      Kind             // of the newest evidence
}

// judge weighs the evidence on one start of a server, from which something was received last at life.
func (r *record) judge(self uint64, startedUnixMs int64, life, now boottime.Instant) verdict {
	var v verdict
	conclusive, own := false, false
	independent, links := 0, make([]string, 0, maxSources)
	for entry, e := range r.byEntry {
		if !r.stands(entry, self, startedUnixMs, life, now) {
			continue
		}
		if v.newest < e.SeenAt {
			v.newest, v.kind = e.SeenAt, e.Kind
		}
		own = own || entry == self
		conclusive = conclusive || e.Kind.conclusive()
		if e.link == "" || !slices.Contains(links, e.link) {
			independent++
		}
		links = append(links, e.link)
	}
	v.confirmed = own || independent > 1
	v.lost = v.confirmed || conclusive
	return v
}

// sources returns the entries whose evidence on one start of a server stands, in ascending order.
func (r *record) sources(self uint64, startedUnixMs int64, life, now boottime.Instant) []uint64 {
	var out []uint64
	for entry := range r.byEntry {
		if r.stands(entry, self, startedUnixMs, life, now) {
			out = append(out, entry)
		}
	}
	slices.Sort(out)
	return out
}

// holds reports whether a server gets no requests from this entry now.
func (v verdict) holds(r *record, hold time.Duration, now boottime.Instant) bool {
	return v.lost && (now.Sub(v.newest) < hold || now < r.trialUntil)
}
