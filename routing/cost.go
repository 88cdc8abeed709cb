package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
)

const (
	// sampleSizeDefault and sampleSizeLarge are the results of SampleSize, in rows.
	sampleSizeDefault = 16
	sampleSizeLarge   = 24
	// maxSampleRounds is how many samples are drawn in search of a server that can
	// take the request now. If no drawn row can serve it at all, all rows are scanned,
	// which happens only where hardly any server can serve the request.
	maxSampleRounds = 4
	// maxCandidates is the maximum number of candidates of one decision.
	maxCandidates = sampleSizeLarge + maxHolders
	// tieJitter is the maximum random cost, in seconds, that is added to break ties.
	// Without it, all entries would choose the first of many idle servers.
	tieJitter = 1e-6
)

// SampleSize returns how many rows of a large pool a decision inspects, which is also
// how many rows an entry takes from its table. Prompts of the large classes get the
// larger sample: they are few, and a bad choice costs them most.
func SampleSize(class request.Class) int {
	if class >= request.ClassLarge {
		return sampleSizeLarge
	}
	return sampleSizeDefault
}

// costPolicy ranks servers by expected time to first token. It compares a few random
// candidates instead of the whole pool.
type costPolicy struct {
	costs    *CostModel
	prefixes *PrefixIndex
}

func newCostPolicy(opts Options) *costPolicy {
	p := &costPolicy{costs: opts.Costs, prefixes: opts.Prefixes}
	if p.costs == nil {
		p.costs = NewCostModel(nil)
	}
	if p.prefixes == nil {
		p.prefixes = NewPrefixIndex(PrefixLimits{})
	}
	return p
}

// Name implements Policy.
func (p *costPolicy) Name() string { return PolicyCost }

// Choose implements Policy. In a pool of more than maxCandidates rows it inspects a
// sample, so that its run time doesn't grow with the pool. It finds the holders of the
// prompt's prefix by binary search, which requires rows sorted by key, as Table returns
// them.
func (p *costPolicy) Choose(q *Query, rows []backend.Row, rnd *rand.Rand, max int, out []Choice) []Choice {
	if max <= 0 || len(rows) == 0 {
		return out
	}
	var held [maxHolders]Holder
	d := decision{
		q:       q,
		rows:    rows,
		rates:   p.costs.Rates(q.Pool),
		holders: p.prefixes.Holders(q.Prefix, held[:0]),
	}
	d.collectCandidates(rnd)
	return d.selectChoices(rnd, max, out)
}

// decision is the working state of one Choose call. It is allocated on the stack.
type decision struct {
	q       *Query
	rows    []backend.Row
	rates   Rates
	holders []Holder
	cands   [maxCandidates]candidate
	n       int
}

// collectCandidates fills in the candidates: all rows if there are at most maxCandidates,
// otherwise samples. There are few rows in a small pool, and in a sample that an entry took
// together with the holders of the prefix.
func (d *decision) collectCandidates(rnd *rand.Rand) {
	if len(d.rows) <= maxCandidates {
		d.addRange(0, len(d.rows))
		return
	}
	for range maxSampleRounds {
		d.addSample(rnd)
		if d.hasFit() {
			break
		}
	}
	d.addHolders()
	if d.n == 0 {
		d.addAllFrom(rnd.IntN(len(d.rows)))
	}
}

// addSample divides the rows into equal ranges and adds one random row of each. The ranges
// start at a random row because their lengths differ by one: a row that was always in a
// shorter range would be drawn, and loaded, more often than others.
func (d *decision) addSample(rnd *rand.Rand) {
	n, size := len(d.rows), SampleSize(d.q.Class)
	shift := rnd.IntN(n)
	for i := range size {
		if d.n == size {
			return
		}
		low, high := i*n/size, (i+1)*n/size
		d.addCandidate((shift + low + rnd.IntN(high-low)) % n)
	}
}

// hasFit reports whether a candidate can take the request now.
func (d *decision) hasFit() bool {
	for i := range d.n {
		if d.cands[i].tier == tierFit {
			return true
		}
	}
	return false
}

// addAllFrom adds rows in order, starting at the given one and wrapping around, until there
// are maxCandidates.
func (d *decision) addAllFrom(start int) {
	d.addRange(start, len(d.rows))
	d.addRange(0, start)
}

func (d *decision) addRange(low, high int) {
	for i := low; i < high && d.n < maxCandidates; i++ {
		d.addCandidate(i)
	}
}

// addHolders adds the holders of the prefix that no sample included.
func (d *decision) addHolders() {
	for _, h := range d.holders {
		at, ok := slices.BinarySearchFunc(d.rows, h.Key, compareRowKey)
		if ok && d.n < maxCandidates {
			d.addCandidate(at)
		}
	}
}

func compareRowKey(row backend.Row, key uint64) int {
	switch {
	case row.Key < key:
		return -1
	case row.Key > key:
		return 1
	}
	return 0
}

// addCandidate adds a row to the candidates if it can serve the request.
func (d *decision) addCandidate(i int) {
	row := &d.rows[i]
	for k := range d.n {
		if d.cands[k].row == int32(i) {
			return
		}
	}
	t := classify(d.q, row)
	if t == tierUnfit {
		return
	}
	c := &d.cands[d.n]
	*c = candidate{row: int32(i), tier: t, cachedTokens: d.cachedTokens(row.Key), reservedForShort: d.isReservedForShort(i)}
	rate, _ := serverRates(d.rates, row)
	estimateQueue(d.q, row, rate, c)
	d.n++
}

// isReservedForShort reports whether a server belongs to the share of the pool that long
// prompts avoid in favor of shorter ones. The share consists of the lowest keys, so that
// all entries agree on it without communication. More than maxCandidates rows are sorted by
// key, as Table returns them; a sample may start at any key, so its rows are counted.
func (d *decision) isReservedForShort(i int) bool {
	if d.q.Class == request.ClassShort {
		return false
	}
	if len(d.rows) > maxCandidates {
		return d.inReservedShare(i)
	}
	lower := 0
	for k := range d.rows {
		if d.rows[k].Key < d.rows[i].Key {
			lower++
		}
	}
	return d.inReservedShare(lower)
}

func (d *decision) inReservedShare(place int) bool {
	return float64(place) < d.q.shortShare()*float64(len(d.rows))
}

// cachedTokens estimates how many tokens of the prompt a server has in its cache.
func (d *decision) cachedTokens(key uint64) int32 {
	for _, h := range d.holders {
		if h.Key == key {
			return int32(d.q.PromptTokens * int64(h.Blocks) / int64(len(d.q.Prefix)))
		}
	}
	return 0
}

func (d *decision) selectChoices(rnd *rand.Rand, max int, out []Choice) []Choice {
	if d.n == 0 {
		return out
	}
	cands := d.cands[:d.n]
	mean := meanShortWork(cands)
	for i := range cands {
		c := &cands[i]
		estimateCost(d.q, &d.rows[c.row], d.rates, mean, rnd, c)
		c.cost += tieJitter * rnd.Float64()
	}
	rankCandidates(cands, comparisonCount(d.q.Class, len(cands)), rnd)
	for i := range cands[:min(max, len(cands))] {
		out = append(out, newChoice(&d.rows[cands[i].row], &cands[i]))
	}
	return out
}

func meanShortWork(cands []candidate) float64 {
	sum := 0.0
	for i := range cands {
		sum += cands[i].shortWork
	}
	return sum / float64(len(cands))
}

func newChoice(row *backend.Row, c *candidate) Choice {
	return Choice{
		Name:          row.Name,
		Zone:          row.Zone,
		RPCAddress:    row.RPCAddress,
		EngineAddress: row.EngineAddress,
		Incarnation:   row.Incarnation,
		ExpectedTTFT:  seconds(c.cost),
		QueueWait:     seconds(c.queueWait),
		CachedTokens:  int64(c.cachedTokens),
		FreeTokens:    row.FreeTokens(),
	}
}
