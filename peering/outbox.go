package peering

import (
	"sync"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// batchTime is how long the news of first tokens and ends waits for more: it only
// frees what others take for busy. What begins goes out at once, for another entry
// may place on the same server a moment later.
const batchTime = 5 * time.Millisecond

// maxBegan bounds the begun attempts of one datagram: 16 helpers and 16
// holders make 300 bytes of one.
const maxBegan = 3

// outbox collects the news of this entry. It implements placement.AttemptPublisher.
type outbox struct {
	owner uint64
	wake  chan struct{} // holds one token while there is news

	mu    sync.Mutex // guards what follows
	began []placement.Attempt
	last  uint64 // the newest of all that began
	died  []quarantine.Record
	first []uint64
	ended []uint64
}

func newOutbox(owner uint64) *outbox {
	return &outbox{owner: owner, wake: make(chan struct{}, 1)}
}

// Began implements placement.AttemptPublisher.
func (o *outbox) Began(w placement.Attempt) {
	o.mu.Lock()
	o.began = append(o.began, w)
	o.last = max(o.last, w.ID.Seq)
	o.mu.Unlock()
	o.signal()
}

// newest returns the number of the newest attempt.
func (o *outbox) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}

// FirstToken implements placement.AttemptPublisher.
func (o *outbox) FirstToken(id placement.AttemptID) {
	o.mu.Lock()
	o.first = append(o.first, id.Seq)
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
	o.died = append(o.died, r)
	o.mu.Unlock()
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default: // a token is there already
	}
}

// urgent reports whether something begun waits.
func (o *outbox) urgent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.began)+len(o.died) > 0
}

// take empties the outbox into messages that fit a datagram each.
func (o *outbox) take(now time.Time) []*wirepb.WorkNews {
	o.mu.Lock()
	began, first, ended, died := o.began, o.first, o.ended, o.died
	o.began, o.first, o.ended, o.died = nil, nil, nil, nil
	o.mu.Unlock()
	out := pack(o.owner, began, first, ended, now)
	for _, r := range died {
		out = append(out, &wirepb.WorkNews{Owner: o.owner, Evidence: []*wirepb.Evidence{wire.EvidenceMessage(r)}})
	}
	return out
}

const (
	// maxSeqs bounds the numbers of one kind beside what began in a datagram of
	// 1,200 bytes; after a million requests a day for years one takes six bytes.
	maxSeqs = 40
	// maxBeat bounds the numbers of a beat, which holds nothing else.
	maxBeat = 180
)

func pack(owner uint64, began []placement.Attempt, first, ended []uint64, now time.Time) []*wirepb.WorkNews {
	var out []*wirepb.WorkNews
	for len(began)+len(first)+len(ended) > 0 {
		m := &wirepb.WorkNews{Owner: owner}
		n := min(len(began), maxBegan)
		for _, w := range began[:n] {
			m.Began = append(m.Began, encode(w, now))
		}
		began = began[n:]
		n = min(len(first), maxSeqs)
		m.FirstToken, first = first[:n], first[n:]
		n = min(len(ended), maxSeqs)
		m.Ended, ended = ended[:n], ended[n:]
		out = append(out, m)
	}
	return out
}

func encode(w placement.Attempt, now time.Time) *wirepb.WorkBegan {
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
	}
}

func decode(owner uint64, b *wirepb.WorkBegan, now time.Time) placement.Attempt {
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
	}
}
