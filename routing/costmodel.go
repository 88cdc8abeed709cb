package routing

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
)

// Rates of an engine that neither describes itself nor was measured, tokens/s.
const (
	defaultPrefillRate = 8_000
	defaultDecodeRate  = 1_000
	minRate            = 10
	maxRate            = 10_000_000
)

const (
	// rateWeight is the weight of one observation in the running mean: some
	// twenty requests renew it.
	rateWeight = 0.05
	// rateStep bounds how far one observation may stand from the mean, as a
	// factor: an engine that lies can pull the mean only by degrees.
	rateStep = 4.0
	// describedSpan bounds how far the mean may stand from what descriptors
	// say, as a factor.
	describedSpan = 8.0
	// minObservedTokens is the least work whose time says more of the rate
	// than of fixed costs.
	minObservedTokens = 256
)

// Observation is what one finished request says of an engine's speed.
type Observation struct {
	PromptTokens int64
	CachedTokens int64
	Prefill      time.Duration // as the engine reports it
	OutputTokens int64
	Decode       time.Duration // from the first token to the last
	Running      int32         // requests that shared the engine's batch
	Elapsed      time.Duration // from dispatch to the end, by the entry's clock
	// PrefillRate and DecodeRate are the descriptor's, zero if unknown.
	PrefillRate int64
	DecodeRate  int64
}

// CostModel learns the prefill and decode rates of each pool and estimates
// times from them. It is safe for concurrent use; its mutex guards rates and is
// taken last.
type CostModel struct {
	rejected metrics.Counter

	mu    sync.RWMutex
	rates map[string]Rates
}

// Rates are a pool's speeds in tokens/s; zero means not measured.
type Rates struct {
	Prefill float64
	Decode  float64 // of the whole batch
	// MeanPrefillSeconds is the mean prefill time of prompts under the long threshold,
	// in seconds.
	MeanPrefillSeconds float64
}

// NewCostModel returns a model that has learned nothing. A nil registry counts
// nowhere.
func NewCostModel(r metrics.Registry) *CostModel {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &CostModel{
		rejected: metrics.GetOrRegisterCounter("routing.cost.rejected", r),
		rates:    map[string]Rates{},
	}
}

// Record learns from a finished request. An observation that contradicts the
// entry's own clock is counted and dropped.
func (m *CostModel) Record(pool string, o Observation) {
	if o.Elapsed > 0 && o.Prefill+o.Decode > o.Elapsed {
		m.rejected.Inc(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rates[pool]
	if fresh := o.PromptTokens - o.CachedTokens; fresh >= minObservedTokens && o.Prefill > 0 {
		r.Prefill = learn(r.Prefill, perSecond(fresh, o.Prefill), o.PrefillRate, defaultPrefillRate)
	}
	if o.PromptTokens < request.LargeTokens && o.Prefill > 0 {
		r.MeanPrefillSeconds = learnMean(r.MeanPrefillSeconds, o.Prefill.Seconds())
	}
	if o.OutputTokens > 1 && o.Decode > 0 {
		batch := perSecond(o.OutputTokens-1, o.Decode) * float64(max(1, o.Running))
		r.Decode = learn(r.Decode, batch, o.DecodeRate, defaultDecodeRate)
	}
	m.rates[pool] = r
}

// Rates returns what was learned of a pool.
func (m *CostModel) Rates(pool string) Rates {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rates[pool]
}

// learn moves a mean towards an observation, within the bounds.
func learn(mean, seen float64, described int64, byDefault float64) float64 {
	if mean == 0 {
		mean = byDefault
		if described > 0 {
			mean = float64(described)
		}
	}
	seen = min(max(seen, mean/rateStep), mean*rateStep)
	mean += rateWeight * (seen - mean)
	if described > 0 {
		mean = min(max(mean, float64(described)/describedSpan), float64(described)*describedSpan)
	}
	return min(max(mean, minRate), maxRate)
}

// learnMean moves a running mean towards an observation.
func learnMean(mean, seen float64) float64 {
	if mean == 0 {
		return seen
	}
	return mean + rateWeight*(seen-mean)
}

// memory returns how fast a load sample loses its worth, in seconds: queues
// fill and drain in about the time of one prefill.
func (r Rates) memory() float64 {
	if r.MeanPrefillSeconds == 0 {
		return defaultMemory
	}
	return min(max(memoryPerPrefill*r.MeanPrefillSeconds, minMemory), maxMemory)
}

func perSecond(tokens int64, d time.Duration) float64 {
	return float64(tokens) / d.Seconds()
}

// TTFT estimates the time to first token on an idle engine of the pool.
func (m *CostModel) TTFT(pool string, promptTokens, cachedTokens int64) time.Duration {
	rate := m.Rates(pool).prefill(0)
	return seconds(float64(max(0, promptTokens-cachedTokens)) / rate)
}

// ServiceTime estimates the whole time on an engine whose batch holds running other
// requests.
func (m *CostModel) ServiceTime(pool string, promptTokens, cachedTokens, maxTokens int64, running int32) time.Duration {
	decode := float64(maxTokens) * float64(running+1) / m.Rates(pool).decode(0)
	return m.TTFT(pool, promptTokens, cachedTokens) + seconds(decode)
}

// prefill returns the learned rate, else the described, else the default.
func (r Rates) prefill(described int64) float64 {
	return rateOf(r.Prefill, described, defaultPrefillRate)
}

func (r Rates) decode(described int64) float64 {
	return rateOf(r.Decode, described, defaultDecodeRate)
}

func rateOf(learned float64, described int64, byDefault float64) float64 {
	switch {
	case described > 0:
		return scaleDescribed(learned, float64(described))
	case learned > 0:
		return learned
	}
	return byDefault
}

// scaleDescribed uses a server's own rate, which may differ from its pool's
// mean, but not by more than a factor of two either way once that is known:
// a server that boasts would otherwise draw all the work.
func scaleDescribed(learned, described float64) float64 {
	const span = 2
	described = min(max(described, minRate), maxRate)
	if learned == 0 {
		return described
	}
	return min(max(described, learned/span), learned*span)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rowRates are the speeds assumed for one server.
func rowRates(r Rates, row *backend.Row) (prefill, decode float64) {
	return r.prefill(row.PrefillRate), r.decode(row.DecodeRate)
}
