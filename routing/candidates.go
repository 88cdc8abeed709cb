package routing

import (
	"math/rand/v2"

	"github.com/briarturn/briarturn/backend"
)

// Candidates appends to out the rows of a table that a decision needs: all rows of a
// small pool, otherwise a sample that includes the servers expected to have the
// prompt's prefix cached. A nil index provides no hints.
func Candidates(t *backend.Table, x *PrefixIndex, q *Query, rnd *rand.Rand, out []backend.Row) []backend.Row {
	var held [maxHolders]Holder
	var keys [maxHolders]uint64
	n := 0
	if x != nil {
		for _, h := range x.Holders(q.Prefix, held[:0]) {
			keys[n] = h.Key
			n++
		}
	}
	return t.Sample(q.Pool, SampleSize(q.Class), keys[:n], rnd, out)
}
