package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/briarturn/briarturn/request"
)

// comparedCandidates is how many random candidates are compared. Entries that compared
// all of them would all choose the same server between two load reports. See
// BenchmarkStaleness.
const comparedCandidates = 8

// comparisonCount returns how many of n candidates to compare. Prompts of the large
// classes compare all: they are so few that entries rarely choose the same server at the
// same time, and a bad choice costs them most.
func comparisonCount(class request.Class, n int) int {
	if class >= request.ClassLarge {
		return n
	}
	return min(comparedCandidates, n)
}

// rankCandidates sorts candidates by tier and cost, then moves to the front the best of d
// that are drawn at random from the first tier.
func rankCandidates(cands []candidate, d int, rnd *rand.Rand) {
	slices.SortFunc(cands, compareByTierAndCost)
	n := bestTierSize(cands)
	best := bestOfDraw(n, d, rnd)
	chosen := cands[best]
	copy(cands[1:best+1], cands[:best])
	cands[0] = chosen
}

// bestOfDraw draws d distinct positions out of n and returns the lowest, which is the best
// of d sorted candidates. If no position before k was drawn, k is drawn with probability
// d/(n-k).
func bestOfDraw(n, d int, rnd *rand.Rand) int {
	for k := range n - 1 {
		if rnd.IntN(n-k) < d {
			return k
		}
	}
	return n - 1
}

func compareByTierAndCost(a, b candidate) int {
	if a.tier != b.tier {
		return int(a.tier) - int(b.tier)
	}
	switch {
	case a.cost < b.cost:
		return -1
	case a.cost > b.cost:
		return 1
	}
	return 0
}

// bestTierSize returns how many of the sorted candidates are in the first one's tier.
func bestTierSize(cands []candidate) int {
	n := 0
	for n < len(cands) && cands[n].tier == cands[0].tier {
		n++
	}
	return n
}
