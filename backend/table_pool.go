package backend

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Rows appends a copy of each row of a pool to out, sorted by key. Its cost
// grows with the size of the pool; placement in a large pool uses Sample.
func (t *Table) Rows(pool string, out []Row) []Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, rec := range t.pools[pool] {
		out = append(out, rec.row)
	}
	return out
}

// Sample appends n rows of a pool to out, drawn at random without repetition,
// and the rows of the keys in also that were not drawn. If the pool has at most
// n rows, it appends all of them.
func (t *Table) Sample(pool string, n int, also []uint64, rnd *rand.Rand, out []Row) []Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	recs := t.pools[pool]
	if len(recs) <= n {
		for _, rec := range recs {
			out = append(out, rec.row)
		}
		return out
	}
	first := len(out)
	// Drawing one row from each of n parts needs no set of drawn rows. The parts
	// start at a random row: their lengths differ by one, and a row that was
	// always in a shorter part would be drawn, and loaded, more than others.
	shift := rnd.IntN(len(recs))
	for i := range n {
		low, high := i*len(recs)/n, (i+1)*len(recs)/n
		out = append(out, recs[(shift+low+rnd.IntN(high-low))%len(recs)].row)
	}
	drawn := out[first:]
	for _, key := range also {
		rec := t.rows[key]
		if rec == nil || rec.row.Pool != pool || containsKey(drawn, key) {
			continue
		}
		out = append(out, rec.row)
	}
	return out
}

func containsKey(rows []Row, key uint64) bool {
	for i := range rows { // by index, because a Row is large to copy
		if rows[i].Key == key {
			return true
		}
	}
	return false
}

// LeastLoaded appends to out at most n live, direct rows of a pool in
// increasing order of pending work. Digests are built from it.
func (t *Table) LeastLoaded(pool string, n int, out []Row) []Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	first := len(out)
	for _, rec := range t.pools[pool] {
		if !rec.row.Direct || rec.row.State != StateLive {
			continue
		}
		out = insertByWork(out, first, n, &rec.row)
	}
	return out
}

// insertByWork keeps out[first:] sorted by pending work and at most n long.
func insertByWork(out []Row, first, n int, row *Row) []Row {
	work := row.pendingWork()
	at := len(out)
	for at > first && out[at-1].pendingWork() > work {
		at--
	}
	if at-first >= n {
		return out
	}
	if len(out)-first == n {
		out = out[:len(out)-1]
	}
	return slices.Insert(out, at, *row)
}

// pendingWork is the sort key of rows for a digest: the tokens to prefill, plus
// 256 for each running or waiting request.
func (r *Row) pendingWork() int64 {
	const tokensPerRequest = 256
	prefill := r.Load.PrefillShort + r.Load.PrefillLong
	return prefill + tokensPerRequest*int64(r.Load.Running+r.Load.Waiting)
}

// Pools returns the names of the pools that have rows, sorted.
func (t *Table) Pools() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	names := make([]string, 0, len(t.pools))
	for name := range t.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// addToPool adds a record to its pool. The caller must hold mu.
func (t *Table) addToPool(rec *record) {
	recs := t.pools[rec.row.Pool]
	at, _ := slices.BinarySearchFunc(recs, rec.row.Key, compareKey)
	t.pools[rec.row.Pool] = slices.Insert(recs, at, rec)
}

// removeFromPool removes a record from its pool. The caller must hold mu.
func (t *Table) removeFromPool(rec *record) {
	recs := t.pools[rec.row.Pool]
	at, ok := slices.BinarySearchFunc(recs, rec.row.Key, compareKey)
	if !ok {
		return
	}
	recs = slices.Delete(recs, at, at+1)
	if len(recs) == 0 {
		delete(t.pools, rec.row.Pool)
		return
	}
	t.pools[rec.row.Pool] = recs
}

func compareKey(rec *record, key uint64) int { return cmp.Compare(rec.row.Key, key) }
