package workspace

import (
	"math"
	"time"

	"github.com/briarturn/briarturn/request"
)

const (
	// debtHalfLife is the time in which the start tag of a workspace loses half of its lead over
	// the virtual time in a queue by turns. What was started long ago, while there was room for
	// all, must not count when room becomes short; callers wait for seconds at most.
	debtHalfLife = 2 * time.Second
	// fadeInterval is the least time between two updates of the start tags.
	fadeInterval = 100 * time.Millisecond
	// maxDebts is the number of workspaces without requests at this entry whose start tags a queue
	// keeps.
	maxDebts = 512
	// minDebt is the lead in tokens below which a start tag isn't kept.
	minDebt = 1
)

// debts holds the start tags of workspaces that have no flow in a queue, by
// placement.WorkspaceKey.
type debts map[uint32]float64

// take removes and returns the start tag of a workspace; 0 if there is none.
func (d debts) take(key uint32) float64 {
	tag := d[key]
	delete(d, key)
	return tag
}

// put keeps the start tag of a workspace. If there are too many, it drops the lowest one.
func (d debts) put(key uint32, tag float64) {
	d[key] = tag
	if len(d) <= maxDebts {
		return
	}
	lowest := key
	for k, v := range d {
		if v < d[lowest] || v == d[lowest] && k < lowest {
			lowest = k
		}
	}
	delete(d, lowest)
}

// fade reduces the lead of all start tags over the virtual time.
func (q *queue) fade(now time.Time) {
	t := q.turns
	passed := now.Sub(t.fadedAt)
	if passed < fadeInterval {
		return
	}
	t.fadedAt = now
	remaining := math.Exp2(-passed.Seconds() / debtHalfLife.Seconds())
	faded := func(tag float64) float64 { return q.virtualTime + (tag-q.virtualTime)*remaining }
	for _, f := range q.flows {
		if f.startTag > q.virtualTime {
			f.startTag = faded(f.startTag)
		}
	}
	for key, tag := range t.debts {
		if tag = faded(tag); tag < q.virtualTime+minDebt {
			delete(t.debts, key)
			continue
		}
		t.debts[key] = tag
	}
}

// RecordPeerStart implements Turns.
func (s *Scheduler) RecordPeerStart(pool string, class request.Class, workspace uint32, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(queueKey{pool: pool, class: class, byTurns: true})
	q.tick(s.now())
	q.turns.rate.record(peerStart)
	tokens = max(1, tokens)
	if f := q.turns.flows[workspace]; f != nil {
		f.startTag = max(f.startTag, q.virtualTime)
		f.charge(tokens)
		return
	}
	weight := s.weights[workspace]
	if weight == 0 {
		weight = s.defaultPolicy.Weight
	}
	tag := max(q.virtualTime, q.turns.debts[workspace])
	q.turns.debts.put(workspace, tag+float64(tokens)/weight)
}
