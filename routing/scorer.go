package routing

import (
	"math"
	"math/rand/v2"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
)

const (
	// minLongClass is the lowest class whose prefill yields to that of lower classes. It
	// matches backend.Load.PrefillLong.
	minLongClass = request.ClassLarge
	// longPrefillShare is the fraction of an engine's prefill capacity that long prompts
	// may take while shorter ones wait.
	longPrefillShare = 0.25
	// longChunkDelay is the delay, in seconds, of a short request on an engine that is
	// processing a chunk of a long prompt.
	longChunkDelay = 0.1
	// defaultShortShare is the fraction of a pool that long prompts avoid in favor of
	// shorter ones, unless that costs them more than reservedLongPenalty of their own
	// prefill time. reservedMediumPenalty is the same for medium prompts, in seconds.
	defaultShortShare     = 0.25
	reservedLongPenalty   = 0.5
	reservedMediumPenalty = 0.1
	// requestOverhead is the fixed cost of each request in the queue, in seconds.
	requestOverhead = 0.002
	// defaultSampleDecay is the time, in seconds, in which the weight of a load sample
	// falls to 1/e while the pool's prefill times are unknown. It fits a mean prefill time
	// of 0.25 s; see BenchmarkStaleness. sampleDecayPerPrefill is that time per second of
	// mean prefill time, with minSampleDecay and maxSampleDecay as bounds.
	defaultSampleDecay    = 0.03
	sampleDecayPerPrefill = 0.12
	minSampleDecay        = 0.001
	maxSampleDecay        = 5.0
	// crossZoneDelay and crossRegionDelay are the costs of distance, in seconds: the two
	// round trips before the first token.
	crossZoneDelay   = 0.002
	crossRegionDelay = 0.100
)

// candidate is a server that a decision considers. Times are in seconds.
type candidate struct {
	row          int32 // index of the row
	tier         tier
	cachedTokens int32   // tokens
	sampleAge    float64 // of the load sample
	shortWork    float64 // queued work of prompts under the long threshold, by the sample
	longWork     float64 // queued work of longer prompts, by the sample
	ownWork      float64 // work that this entry sent since the sample
	queueWait    float64 // expected wait before the prefill
	cost         float64
	// reservedForShort marks a server that long prompts avoid.
	reservedForShort bool
}

// estimateQueue fills in the work queued ahead of the request: the work in the sample, and
// separately the work that this entry sent since.
func estimateQueue(q *Query, row *backend.Row, rate float64, c *candidate) {
	c.sampleAge = max(0, q.Now.Sub(row.LoadAt).Seconds())
	c.longWork = max(0, float64(row.Load.PrefillLong)/rate-c.sampleAge)
	c.shortWork = requestOverhead * float64(row.Load.Running+row.Load.Waiting)
	c.ownWork = requestOverhead * float64(row.UnreportedRequests)
	if q.isLong() {
		c.shortWork += float64(row.Load.PrefillShort) / rate
		c.ownWork += float64(row.UnreportedPrefill) / rate
		return
	}
	ownShort := float64(row.UnreportedPrefill - row.UnreportedLongPrefill)
	if c.longWork > 0 || row.UnreportedLongPrefill > 0 {
		rate *= 1 - longPrefillShare
		c.ownWork += longChunkDelay
	}
	c.shortWork += float64(row.Load.PrefillShort) / rate
	c.ownWork += ownShort / rate
	c.longWork = 0 // long prefills yield to the request
}

// currentShortWork estimates the short work that is queued now. An old sample says little
// about the current queue, so its weight decays with its age in favor of a random draw
// around the mean queue. The mean itself would not do: entries that hold the same old
// samples would rank the servers alike and send all requests to one. The result is at least
// the work that can't have been finished since the sample.
func (c *candidate) currentShortWork(mean, decay float64, rnd *rand.Rand) float64 {
	if c.sampleAge == 0 {
		return c.shortWork
	}
	weight := math.Exp(-c.sampleAge / decay)
	blend := weight*c.shortWork + (1-weight)*mean*rnd.ExpFloat64()
	return max(c.shortWork-c.sampleAge, blend)
}

// estimateCost sets a candidate's cost: the expected time to first token plus penalties for
// distance and missing memory. mean is the mean short work of the candidates.
func estimateCost(q *Query, row *backend.Row, rates Rates, mean float64, rnd *rand.Rand, c *candidate) {
	prefill, decode := serverRates(rates, row)
	prompt := float64(max(0, q.PromptTokens-int64(c.cachedTokens)))
	c.queueWait = c.currentShortWork(mean, rates.sampleDecay(), rnd) + c.longWork + c.ownWork
	c.cost = c.queueWait + prompt/prefill + distanceDelay(q, row)
	if c.reservedForShort && q.isLong() {
		c.cost += reservedLongPenalty * prompt / prefill
	}
	if c.reservedForShort && q.Class == request.ClassMedium {
		c.cost += reservedMediumPenalty
	}
	if shortfall := q.requiredTokens() - row.FreeTokens(); shortfall > 0 && row.CapacityTokens() > 0 {
		c.cost += float64(shortfall) / decode
	}
}

func distanceDelay(q *Query, row *backend.Row) float64 {
	switch {
	case q.Zone == "" || row.Zone == q.Zone:
		return 0
	case q.Region == "" || row.Region == q.Region:
		return crossZoneDelay
	}
	return crossRegionDelay
}
