package claim

import (
	"time"

	"github.com/briarturn/briarturn/objectapi"
)

const (
	// rememberFor is how long an entry remembers the records that it has written. The store's older
	// copies are some seconds old.
	rememberFor = 30 * time.Second
	// restoreHold is how long no key without a record is granted after the store came back from an older
	// copy, so that all entries can write again what it lost.
	restoreHold = objectapi.DefaultRecoveryTime
	// firstRestoredEra is the lowest era in which the store may have lost something.
	firstRestoredEra = 2
)

// writtenRecords are the records of a shard that this entry has written of late, and what it knows of
// the store's eras. Only the goroutine of the group uses it.
type writtenRecords struct {
	records   map[string]writtenRecord // by hash of the key
	era       uint64                   // of the shard when it was last read
	heldUntil time.Time                // keys without a record aren't granted before
	lost      bool                     // records may be missing in the store
}

type writtenRecord struct {
	keyRecord
	at time.Time // when it was written
}

// remember records what a committed plan wrote.
func (w *writtenRecords) remember(p *plan, now time.Time) {
	if w.records == nil {
		w.records = map[string]writtenRecord{}
	}
	for _, o := range p.granted {
		w.records[o.hash] = writtenRecord{keyRecord{Mark: o.mark, State: Running, UpdatedUnix: now.Unix()}, now}
	}
	for _, o := range p.settled {
		delete(w.records, o.hash)
		if settled, ok := p.settledRecords[o.hash]; ok {
			w.records[o.hash] = writtenRecord{settled, now}
		}
	}
	for hash, r := range w.records {
		if now.Sub(r.at) > rememberFor {
			delete(w.records, hash)
		}
	}
}

// rememberForwarded records the outcomes that another entry has written for this one.
func (w *writtenRecords) rememberForwarded(batch []*op, now time.Time) {
	for _, o := range batch {
		known, ok := w.records[o.hash]
		if !ok {
			continue
		}
		s := shard{Claims: map[string]keyRecord{o.hash: known.keyRecord}}
		s.settle(o.hash, o.mark, o.outcome, o.issued, now)
		delete(w.records, o.hash)
		if settled, ok := s.Claims[o.hash]; ok {
			w.records[o.hash] = writtenRecord{settled, now}
		}
	}
}

// noteRestored records that the store came back from an older copy.
func (w *writtenRecords) noteRestored(now time.Time) {
	w.lost = true
	w.heldUntil = now.Add(restoreHold)
}

// noteVersion records the version of the shard that was read. The first one that a process reads may be
// of a store that came back just before.
func (w *writtenRecords) noteVersion(version uint64, now time.Time) {
	era := objectapi.EraOf(version)
	if era <= w.era {
		return
	}
	if w.era > 0 || era >= firstRestoredEra || len(w.records) > 0 {
		w.noteRestored(now)
	}
	w.era = era
}

// restore adds the remembered records that the shard has lost, and returns how many. The records of
// sealed objects stay there.
func (w *writtenRecords) restore(s *shard, view sealedView) int {
	if !w.lost {
		return 0
	}
	n := 0
	for hash, r := range w.records {
		_, sealed := view.find(hash)
		recorded, ok := s.Claims[hash]
		lostOutcome := recorded.Mark == r.Mark && recorded.State == Running && r.State != Running
		if sealed || ok && !lostOutcome {
			continue
		}
		s.Claims[hash] = r.keyRecord
		n++
	}
	return n
}

// StoreRestored tells the Claimer that the store came back from an older copy, so that it writes again what
// the store lost of its records, though no call comes in. It doesn't block.
func (c *Claimer) StoreRestored() {
	for _, g := range c.groups {
		g.restored.Store(true)
		g.enqueue(newOp(opLookup, "", ""))
	}
}
