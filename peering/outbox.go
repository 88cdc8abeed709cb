package peering

import (
	"slices"
	"sync"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// batchDelay is how long updates about first tokens and ends wait to be batched. They only
// release capacity that peers count as used. Attempt starts go out at once, because
// another entry may place on the same server a moment later.
const batchDelay = 5 * time.Millisecond

// maxBegunPerMessage is the maximum number of attempt starts in one datagram. One start
// with 16 helpers and 16 holders takes 300 bytes.
const maxBegunPerMessage = 3

// outbox collects this entry's updates until publishLoop sends them. It implements
// placement.AttemptPublisher, gateway.DeathReporter, gateway.LimitReporter,
// gateway.DrainReporter and retrybudget.Asker.
type outbox struct {
	owner uint64
	wake  chan struct{} // holds one token while updates are pending

	mu        sync.Mutex // guards what follows
	began     []placement.Attempt
	newestSeq uint64 // highest sequence number of all attempts that began
	deaths    []quarantine.Record
	reported  []reportedDeath // sent lately, oldest first
	completed []uint64        // fingerprints that are suspects no longer
	parts     partReports
	// reportedParts was sent lately, oldest first.
	reportedParts partReports
	asks          []retrybudget.Ask
	loans         []retryLoan
	limits        []serverlimit.Observation
	drains        []servernotice.Server
	firstTokens   []uint64
	ended         []uint64
}

func newOutbox(owner uint64) *outbox {
	return &outbox{owner: owner, wake: make(chan struct{}, 1)}
}

// Began implements placement.AttemptPublisher.
func (o *outbox) Began(w placement.Attempt) {
	o.mu.Lock()
	o.began = append(o.began, w)
	o.newestSeq = max(o.newestSeq, w.ID.Seq)
	o.mu.Unlock()
	o.signal()
}

// lastSeq returns the sequence number of the newest attempt.
func (o *outbox) lastSeq() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newestSeq
}

// FirstToken implements placement.AttemptPublisher.
func (o *outbox) FirstToken(id placement.AttemptID) {
	o.mu.Lock()
	o.firstTokens = append(o.firstTokens, id.Seq)
	o.mu.Unlock()
	o.signal()
}

// Ended implements placement.AttemptPublisher.
func (o *outbox) Ended(id placement.AttemptID) {
	o.mu.Lock()
	o.ended = append(o.ended, id.Seq)
	o.mu.Unlock()
	o.signal()
}

// ReportDeath implements gateway.DeathReporter.
func (o *outbox) ReportDeath(r quarantine.Record) {
	o.mu.Lock()
	o.deaths = append(o.deaths, r)
	o.mu.Unlock()
	o.signal()
}

// ReportCompletion implements gateway.DeathReporter.
func (o *outbox) ReportCompletion(fingerprint uint64) {
	o.forgetDeaths(fingerprint)
	o.mu.Lock()
	o.completed = append(o.completed, fingerprint)
	o.mu.Unlock()
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// urgent reports whether attempt starts, questions about retries, or deaths, limits or drains of
// servers are pending.
func (o *outbox) urgent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.began)+len(o.deaths)+len(o.limits)+len(o.drains)+len(o.asks)+len(o.loans) > 0 || !o.parts.empty()
}

// drain empties the outbox and returns its updates as messages that each fit a datagram.
func (o *outbox) drain(now time.Time) []*wirepb.WorkNews {
	o.mu.Lock()
	began, first, ended, died, completed := o.began, o.firstTokens, o.ended, o.deaths, o.completed
	o.began, o.firstTokens, o.ended, o.deaths, o.completed = nil, nil, nil, nil, nil
	limits, drains, parts := o.limits, o.drains, o.parts
	o.limits, o.drains, o.parts = nil, nil, partReports{}
	o.reportedParts.add(parts)
	for _, r := range died {
		o.reported = append(o.reported, reportedDeath{record: r, at: now})
	}
	o.mu.Unlock()
	return slices.Concat(
		packMessages(o.owner, began, first, ended, now),
		deathMessages(o.owner, died),
		completionMessages(o.owner, completed),
		limitMessages(o.owner, limits),
		drainMessages(o.owner, drains),
		partMessages(o.owner, parts, now),
	)
}

const (
	// maxSeqsPerMessage is the maximum number of first tokens, and of ends, in a datagram
	// of 1,200 bytes that also carries starts. A sequence number takes six bytes after
	// years at a million requests a day.
	maxSeqsPerMessage = 40
	// maxHeartbeatSeqs is the maximum number of sequence numbers in a heartbeat, which
	// carries no starts or ends.
	maxHeartbeatSeqs = 180
)

// packMessages splits updates of an entry into messages that each fit a datagram.
func packMessages(owner uint64, began []placement.Attempt, first, ended []uint64, now time.Time) []*wirepb.WorkNews {
	var out []*wirepb.WorkNews
	for len(began)+len(first)+len(ended) > 0 {
		m := &wirepb.WorkNews{Owner: owner}
		n := min(len(began), maxBegunPerMessage)
		for _, w := range began[:n] {
			m.Began = append(m.Began, encodeAttempt(w, now))
		}
		began = began[n:]
		n = min(len(first), maxSeqsPerMessage)
		m.FirstToken, first = first[:n], first[n:]
		n = min(len(ended), maxSeqsPerMessage)
		m.Ended, ended = ended[:n], ended[n:]
		out = append(out, m)
	}
	return out
}

// encodeAttempt converts an attempt to its wire form, with times relative to now.
func encodeAttempt(w placement.Attempt, now time.Time) *wirepb.WorkBegan {
	return &wirepb.WorkBegan{
		Seq:          w.ID.Seq,
		Server:       w.Server,
		Helpers:      w.Helpers,
		PartUs:       uint64(max(w.PartTime, 0).Microseconds()),
		PartTokens:   uint32(w.PartTokens),
		MemoryTokens: uint32(w.MemoryTokens),
		PauseMs:      uint32(w.PauseObjective.Milliseconds()),
		FirstInMs:    uint32(max(w.FirstTokenDeadline.Sub(now), 0).Milliseconds()),
		Weight:       float32(w.Weight),
		Writing:      w.Decoding,
		Holders:      w.Holders,
		HolderTokens: uint32(w.HolderTokens),
		Workspace:    w.Workspace,
	}
}

// decodeAttempt converts the wire form of an attempt, with times relative to now.
func decodeAttempt(owner uint64, b *wirepb.WorkBegan, now time.Time) placement.Attempt {
	return placement.Attempt{
		ID:                 placement.AttemptID{Owner: owner, Seq: b.GetSeq()},
		Server:             b.GetServer(),
		Helpers:            b.GetHelpers(),
		PartTime:           time.Duration(b.GetPartUs()) * time.Microsecond,
		PartTokens:         int(b.GetPartTokens()),
		MemoryTokens:       int(b.GetMemoryTokens()),
		PauseObjective:     time.Duration(b.GetPauseMs()) * time.Millisecond,
		FirstTokenDeadline: now.Add(time.Duration(b.GetFirstInMs()) * time.Millisecond),
		Weight:             float64(b.GetWeight()),
		Decoding:           b.GetWriting(),
		Holders:            b.GetHolders(),
		HolderTokens:       int(b.GetHolderTokens()),
		Workspace:          b.GetWorkspace(),
	}
}
