package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
)

const (
	// sampleShort and sampleLarge are what SampleSize returns.
	sampleShort = 16
	sampleLarge = 24
	// sampleRounds is how often a sample is drawn before all rows are scanned,
	// which happens only where hardly any server can serve the request.
	sampleRounds = 4
	// maxCandidates bounds the candidates of one decision.
	maxCandidates = sampleLarge + maxHolders
	// tieSpread, in seconds, breaks ties at random: entries that all took the
	// first of many idle servers would herd on it.
	tieSpread = 1e-6
)

// SampleSize returns how many rows of a large pool are looked at for a request,
// and so how many an entry takes from its table for a decision. Of prompts of
// the large classes there are few, and a bad choice costs them most.
func SampleSize(class request.Class) int {
	if class >= request.ClassLarge {
		return sampleLarge
	}
	return sampleShort
}

// costPolicy ranks by expected time to first token, among d random candidates.
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

// Choose implements Policy. In a pool of more than maxCandidates rows it looks at
// a sample, so that its time doesn't grow with the pool; the holders of the
// prompt's prefix are found in rows that are sorted by key, as Table gives them.
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
	d.gather(rnd)
	return d.choose(rnd, max, out)
}

// decision is the work space of one Choose. It lives on the stack.
type decision struct {
	q       *Query
	rows    []backend.Row
	rates   Rates
	holders []Holder
	cands   [maxCandidates]candidate
	n       int
}

// gather fills in the candidates: all of few rows, else samples. Few are a small
// pool, or a sample that an entry took with the holders of the prefix.
func (d *decision) gather(rnd *rand.Rand) {
	if len(d.rows) <= maxCandidates {
		d.scan(0, len(d.rows))
		return
	}
	for range sampleRounds {
		d.sample(rnd)
		if d.fit() {
			break
		}
	}
	d.addHolders()
	if d.n == 0 {
		d.scanFrom(rnd.IntN(len(d.rows)))
	}
}

// sample considers one random row of each of several parts. The parts begin
// at a random row: they differ in length by one, and a row that always stood in
// a shorter part would be drawn, and loaded, more than others.
func (d *decision) sample(rnd *rand.Rand) {
	n, size := len(d.rows), SampleSize(d.q.Class)
	shift := rnd.IntN(n)
	for i := range size {
		if d.n == size {
			return
		}
		low, high := i*n/size, (i+1)*n/size
		d.consider((shift + low + rnd.IntN(high-low)) % n)
	}
}

// fit says whether a candidate can take the request now.
func (d *decision) fit() bool {
	for i := range d.n {
		if d.cands[i].tier == tierFit {
			return true
		}
	}
	return false
}

// scanFrom considers all rows, from a random one on, until enough are found.
func (d *decision) scanFrom(start int) {
	d.scan(start, len(d.rows))
	d.scan(0, start)
}

func (d *decision) scan(low, high int) {
	for i := low; i < high && d.n < maxCandidates; i++ {
		d.consider(i)
	}
}

// addHolders considers the holders of the prefix that no sample met.
func (d *decision) addHolders() {
	for _, h := range d.holders {
		at, ok := slices.BinarySearchFunc(d.rows, h.Key, compareRowKey)
		if ok && d.n < maxCandidates {
			d.consider(at)
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

// consider adds a row to the candidates if it can serve the request.
func (d *decision) consider(i int) {
	row := &d.rows[i]
	for k := range d.n {
		if d.cands[k].row == int32(i) {
			return
		}
	}
	t := filter(d.q, row)
	if t == tierUnfit {
		return
	}
	c := &d.cands[d.n]
	*c = candidate{row: int32(i), tier: t, cached: d.cached(row.Key), shortSide: d.shortSide(i)}
	rate, _ := rowRates(d.rates, row)
	queueAhead(d.q, row, rate, c)
	d.n++
}

// shortSide reports whether a server belongs to the part of the pool that long
// prompts leave to shorter ones as long as they can. The part is that of the
// lowest keys, so that all entries agree on it without a word. Many rows are
// sorted by key, as Table gives them; a sample may begin anywhere.
func (d *decision) shortSide(i int) bool {
	if d.q.Class == request.ClassShort {
		return false
	}
	if len(d.rows) > maxCandidates {
		return d.inShortShare(i)
	}
	lower := 0
	for k := range d.rows {
		if d.rows[k].Key < d.rows[i].Key {
			lower++
		}
	}
	return d.inShortShare(lower)
}

func (d *decision) inShortShare(place int) bool {
	return float64(place) < d.q.shortShare()*float64(len(d.rows))
}

// cached estimates how many tokens of the prompt a server has in its cache.
func (d *decision) cached(key uint64) int32 {
	for _, h := range d.holders {
		if h.Key == key {
			return int32(d.q.PromptTokens * int64(h.Blocks) / int64(len(d.q.Prefix)))
		}
	}
	return 0
}

func (d *decision) choose(rnd *rand.Rand, max int, out []Choice) []Choice {
	if d.n == 0 {
		return out
	}
	cands := d.cands[:d.n]
	mean := meanShort(cands)
	for i := range cands {
		c := &cands[i]
		price(d.q, &d.rows[c.row], d.rates, mean, rnd, c)
		c.cost += tieSpread * rnd.Float64()
	}
	rank(cands, choicesFor(d.q.Class, len(cands)), rnd)
	for i := range cands[:min(max, len(cands))] {
		out = append(out, choiceOf(&d.rows[cands[i].row], &cands[i]))
	}
	return out
}

func meanShort(cands []candidate) float64 {
	sum := 0.0
	for i := range cands {
		sum += cands[i].short
	}
	return sum / float64(len(cands))
}

func choiceOf(row *backend.Row, c *candidate) Choice {
	return Choice{
		Name:          row.Name,
		Zone:          row.Zone,
		RPCAddress:    row.RPCAddress,
		EngineAddress: row.EngineAddress,
		Incarnation:   row.Incarnation,
		ExpectedTTFT:  seconds(c.cost),
		QueueWait:     seconds(c.wait),
		CachedTokens:  int64(c.cached),
		FreeTokens:    row.FreeTokens(),
	}
}
