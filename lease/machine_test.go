package lease

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Checks that no two of three contenders hold the lease at the same time, with
// clocks that do not agree, slow calls and responses, lost responses, outages,
// pauses and deletions. Two holders are possible if the holder counts its term
// longer than a contender waits.
func TestAtMostOneHolder(t *testing.T) {
	terms := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, 3, false)
		t.Repeat(map[string]func(*rapid.T){
			"act":   func(*rapid.T) { w.step() },
			"again": func(*rapid.T) { w.step() },
			"pass":  func(*rapid.T) { w.advanceTime() },
			"fault": func(*rapid.T) { w.injectFault() },
			"": func(t *rapid.T) {
				if w.err != nil {
					t.Fatal(w.err)
				}
			},
		})
		terms += w.terms
	})
	t.Logf("%d terms", terms)
	if terms == 0 {
		t.Fatal("no term was ever acquired, so nothing was checked")
	}
}

// runSeeds runs simulations with fixed seeds and returns the number of seeds
// with a violation and the number of terms.
func runSeeds(seeds uint64, mutant bool) (violations, terms int) {
	for seed := range seeds {
		rnd := rand.New(rand.NewPCG(seed, 1))
		w := newSimulation(rnd.IntN, 3, mutant)
		for range 200 {
			switch rnd.IntN(6) {
			case 0:
				w.injectFault()
			case 1, 2:
				w.advanceTime()
			default:
				w.step()
			}
		}
		terms += w.terms
		if w.err != nil {
			violations++
		}
	}
	return violations, terms
}

// Checks that the simulation detects a faulty variant that counts its term
// from after the response, so that a slow response lengthens the term.
func TestTermCountedFromResponseIsDetected(t *testing.T) {
	const seeds = 300
	good, terms := runSeeds(seeds, false)
	bad, _ := runSeeds(seeds, true)
	t.Logf("%d seeds, %d terms: %d violations; mutant: %d seeds with violations", seeds, terms, good, bad)
	if good != 0 {
		t.Errorf("%d seeds with two holders", good)
	}
	if bad == 0 {
		t.Error("the mutant was not detected")
	}
}
