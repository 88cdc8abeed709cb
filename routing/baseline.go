package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/briarturn/briarturn/backend"
)

// roundRobin takes the usable servers in turn, whatever their load.
type roundRobin struct {
	next atomic.Uint64
}

// Name implements Policy.
func (p *roundRobin) Name() string { return PolicyRoundRobin }

// Choose implements Policy.
func (p *roundRobin) Choose(q *Query, rows []backend.Row, _ *rand.Rand, max int, out []Choice) []Choice {
	if len(rows) == 0 {
		return out
	}
	start := int(p.next.Add(1) % uint64(len(rows)))
	found := 0
	for i := range rows {
		row := &rows[(start+i)%len(rows)]
		if found == max {
			break
		}
		if !usable(q, row) {
			continue
		}
		out = append(out, choiceOf(row, &candidate{}))
		found++
	}
	return out
}

// leastLoad takes the usable servers with the fewest requests: as sampled, and
// sent by this entry since. It looks at every row.
type leastLoad struct{}

// Name implements Policy.
func (leastLoad) Name() string { return PolicyLeastLoad }

// Choose implements Policy.
func (leastLoad) Choose(q *Query, rows []backend.Row, rnd *rand.Rand, max int, out []Choice) []Choice {
	if max <= 0 || len(rows) == 0 {
		return out
	}
	var best [maxCandidates]candidate
	n, limit := 0, min(max, len(best))
	start := rnd.IntN(len(rows)) // ties go to the first found
	for i := range rows {
		at := (start + i) % len(rows)
		row := &rows[at]
		if !usable(q, row) {
			continue
		}
		load := float64(row.Load.Running + row.Load.Waiting + row.OwnRunning)
		n = insertCandidate(best[:limit], n, candidate{row: int32(at), cost: load})
	}
	for i := range best[:n] {
		row := &rows[best[i].row]
		best[i].cost = 0 // a count of requests is no time
		out = append(out, choiceOf(row, &best[i]))
	}
	return out
}

// insertCandidate keeps the first n of best sorted by cost.
func insertCandidate(best []candidate, n int, c candidate) int {
	if n == len(best) {
		if c.cost >= best[n-1].cost {
			return n
		}
		n--
	}
	at := n
	for at > 0 && best[at-1].cost > c.cost {
		best[at] = best[at-1]
		at--
	}
	best[at] = c
	return n + 1
}
