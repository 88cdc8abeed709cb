package workspace

import (
	"math"
	"time"

	"github.com/briarturn/briarturn/request"
)

// In a queue by turns the start tag of a flow is the usage of its workspace: the tokens started
// for it at all entries, divided by its weight, of which older ones count less. So the workspace
// with the least usage of late comes first at each entry, whichever entry it was served by. A
// virtual time, as for windows, can't be agreed on between entries without messages.

const (
	// usageHalfLife is the time after which a start counts half. What was started while there
	// was room for all must not count for long when room becomes short, and callers wait for
	// seconds at most. A message that came late, twice or never matters as briefly.
	usageHalfLife = 2 * time.Second
	// fadeInterval is the least time between two updates of the usages.
	fadeInterval = 100 * time.Millisecond
	// maxUsages is the number of workspaces without requests at this entry whose usage a queue
	// keeps.
	maxUsages = 512
	// minUsage is the usage in tokens below which none is kept.
	minUsage = 1
	// overShare is the ratio to the mean usage from which a workspace counts as over its share;
	// below it, differences come from chance.
	overShare = 2
)

// usages holds the usages of workspaces that have no flow in a queue, by placement.WorkspaceKey.
type usages map[uint32]float64

// take removes and returns the usage of a workspace.
func (u usages) take(key uint32) float64 {
	usage := u[key]
	delete(u, key)
	return usage
}

// put keeps the usage of a workspace. If there are too many, it drops the lowest one.
func (u usages) put(key uint32, usage float64) {
	if usage < minUsage {
		return
	}
	u[key] = usage
	if len(u) <= maxUsages {
		return
	}
	lowest := key
	for k, v := range u {
		if v < u[lowest] || v == u[lowest] && k < lowest {
			lowest = k
		}
	}
	delete(u, lowest)
}

// fade reduces all usages by the time that has passed. They become whole tokens, so that the order
// of their addition has no effect.
func (q *queue) fade(now time.Time) {
	t := q.turns
	passed := now.Sub(t.fadedAt)
	if passed < fadeInterval {
		return
	}
	t.fadedAt = now
	remaining := math.Exp2(-passed.Seconds() / usageHalfLife.Seconds())
	sum := 0.0
	for _, f := range q.flows {
		f.startTag = math.Floor(f.startTag * remaining)
		sum += f.startTag
	}
	for key, usage := range t.usages {
		usage = math.Floor(usage * remaining)
		if usage < minUsage {
			delete(t.usages, key)
			continue
		}
		sum += usage
		t.usages[key] = usage
	}
	t.usageSum = sum
	t.known = len(q.flows) + len(t.usages)
}

// overShare reports whether the workspace has had much more than the others of late.
func (f *flow) overShare() bool {
	t := f.queue.turns
	return f.startTag > overShare*t.usageSum/float64(max(1, t.known))
}

// RecordPeerStart implements Turns.
func (s *Scheduler) RecordPeerStart(pool string, class request.Class, workspace uint32, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(queueKey{pool: pool, class: class, byTurns: true})
	q.tick(s.now())
	q.turns.rate.record(byPeer)
	tokens = max(1, tokens)
	if f := q.turns.flows[workspace]; f != nil {
		f.charge(tokens)
		return
	}
	weight := s.weights[workspace]
	if weight == 0 {
		weight = s.defaultPolicy.Weight
	}
	usage := float64(tokens) / weight
	q.turns.usageSum += usage
	q.turns.usages.put(workspace, q.turns.usages[workspace]+usage)
}
