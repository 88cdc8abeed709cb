package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/briarturn/briarturn/backend"
)

// roundRobin chooses the usable servers in turn, regardless of their load.
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
		out = append(out, newChoice(row, &candidate{}))
		found++
	}
	return out
}

// leastLoad chooses the usable servers with the fewest requests: those in the load
// sample plus those that this entry sent since. It scans every row.
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
	start := rnd.IntN(len(rows)) // ties go to the first row scanned
	for i := range rows {
		at := (start + i) % len(rows)
		row := &rows[at]
		if !usable(q, row) {
			continue
		}
		load := float64(row.Load.Running + row.Load.Waiting + row.UnreportedRequests)
		n = insertCandidate(best[:limit], n, candidate{row: int32(at), cost: load})
	}
	for i := range best[:n] {
		row := &rows[best[i].row]
		best[i].cost = 0 // the cost is a count of requests, not a time
		out = append(out, newChoice(row, &best[i]))
	}
	return out
}

// insertCandidate inserts c into best, of which the first n are in use, sorted by cost. It
// returns the new n.
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
