package routing

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/request"
)

// Rates assumed for an engine that reports no rates and whose pool has no measurements,
// and the bounds of all rates, in tokens/s.
const (
	defaultPrefillRate = 8_000
	defaultDecodeRate  = 1_000
	minRate            = 10
	maxRate            = 10_000_000
)

const (
	// ewmaWeight is the weight of one observation in the exponentially weighted
	// moving average; its time constant is about twenty requests.
	ewmaWeight = 0.05
	// maxObservationFactor limits the factor by which one observation may differ from
	// the mean, so that an engine that reports false times shifts it only gradually.
	maxObservationFactor = 4.0
	// maxDescribedFactor limits the factor by which the mean may differ from the rate
	// in the descriptors.
	maxDescribedFactor = 8.0
	// minObservedTokens is the minimum number of uncached prompt tokens from which a
	// prefill rate is computed. Below it, fixed costs dominate the prefill time.
	minObservedTokens = 256
)

// Observation holds the timings of one finished request.
type Observation struct {
	PromptTokens int64
	CachedTokens int64
	Prefill      time.Duration // as reported by the engine
	OutputTokens int64
	Decode       time.Duration // from the first token to the last
	Running      int32         // requests that shared the engine's batch
	Elapsed      time.Duration // from dispatch to the end, by the entry's clock
	// PrefillRate and DecodeRate come from the server's descriptor; zero if unknown.
	PrefillRate int64
	DecodeRate  int64
}

// CostModel learns the prefill and decode rates of each pool and estimates request
// times from them. It is safe for concurrent use. Its mutex guards rates and is a leaf
// lock.
type CostModel struct {
	rejected metrics.Counter

	mu    sync.RWMutex
	rates map[string]Rates
}

// Rates are the measured speeds of a pool in tokens/s; zero means not measured.
type Rates struct {
	Prefill float64
	Decode  float64 // of the whole batch
	// MeanPrefillSeconds is the mean prefill time of prompts under the long threshold,
	// in seconds.
	MeanPrefillSeconds float64
}

// NewCostModel returns a model without measurements. If r is nil, its counter is not
// exported.
func NewCostModel(r metrics.Registry) *CostModel {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &CostModel{
		rejected: metrics.GetOrRegisterCounter("routing.cost.rejected", r),
		rates:    map[string]Rates{},
	}
}

// Record updates the rates of a pool from a finished request. It drops and counts
// observations whose engine times exceed the time that the entry measured.
func (m *CostModel) Record(pool string, o Observation) {
	if o.Elapsed > 0 && o.Prefill+o.Decode > o.Elapsed {
		m.rejected.Inc(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rates[pool]
	if uncached := o.PromptTokens - o.CachedTokens; uncached >= minObservedTokens && o.Prefill > 0 {
		r.Prefill = updateRate(r.Prefill, perSecond(uncached, o.Prefill), o.PrefillRate, defaultPrefillRate)
	}
	if o.PromptTokens < request.LargeTokens && o.Prefill > 0 {
		r.MeanPrefillSeconds = updateMean(r.MeanPrefillSeconds, o.Prefill.Seconds())
	}
	if o.OutputTokens > 1 && o.Decode > 0 {
		batch := perSecond(o.OutputTokens-1, o.Decode) * float64(max(1, o.Running))
		r.Decode = updateRate(r.Decode, batch, o.DecodeRate, defaultDecodeRate)
	}
	m.rates[pool] = r
}

// Rates returns the measured rates of a pool.
func (m *CostModel) Rates(pool string) Rates {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rates[pool]
}

// updateRate moves a mean towards an observation, within the bounds above.
func updateRate(mean, observed float64, described int64, fallback float64) float64 {
	if mean == 0 {
		mean = fallback
		if described > 0 {
			mean = float64(described)
		}
	}
	observed = min(max(observed, mean/maxObservationFactor), mean*maxObservationFactor)
	mean += ewmaWeight * (observed - mean)
	if described > 0 {
		mean = min(max(mean, float64(described)/maxDescribedFactor), float64(described)*maxDescribedFactor)
	}
	return min(max(mean, minRate), maxRate)
}

// updateMean moves a moving average towards an observation.
func updateMean(mean, observed float64) float64 {
	if mean == 0 {
		return observed
	}
	return mean + ewmaWeight*(observed-mean)
}

// sampleDecay returns the time constant, in seconds, by which the weight of a load
// sample decays: queues fill and drain in about the time of one prefill.
func (r Rates) sampleDecay() float64 {
	if r.MeanPrefillSeconds == 0 {
		return defaultSampleDecay
	}
	return min(max(sampleDecayPerPrefill*r.MeanPrefillSeconds, minSampleDecay), maxSampleDecay)
}

func perSecond(tokens int64, d time.Duration) float64 {
	return float64(tokens) / d.Seconds()
}

// TTFT estimates the time to first token on an idle engine of the pool.
func (m *CostModel) TTFT(pool string, promptTokens, cachedTokens int64) time.Duration {
	rate := m.Rates(pool).prefill(0)
	return seconds(float64(max(0, promptTokens-cachedTokens)) / rate)
}

// ServiceTime estimates the total time of a request on an engine whose batch holds the
// given number of other requests.
func (m *CostModel) ServiceTime(pool string, promptTokens, cachedTokens, maxTokens int64, running int32) time.Duration {
	decode := float64(maxTokens) * float64(running+1) / m.Rates(pool).decode(0)
	return m.TTFT(pool, promptTokens, cachedTokens) + seconds(decode)
}

// prefill returns the prefill rate of a server: its described rate, bounded by the measured
// rate of its pool. Without a described rate it is the measured one, without both the default.
func (r Rates) prefill(described int64) float64 {
	return effectiveRate(r.Prefill, described, defaultPrefillRate)
}

func (r Rates) decode(described int64) float64 {
	return effectiveRate(r.Decode, described, defaultDecodeRate)
}

func effectiveRate(learned float64, described int64, fallback float64) float64 {
	switch {
	case described > 0:
		return boundDescribed(learned, float64(described))
	case learned > 0:
		return learned
	}
	return fallback
}

// boundDescribed returns a server's described rate, which may differ from the mean of its
// pool, but by at most a factor of two once that mean is measured. Without the limit, a
// server that reports too high a rate would attract all requests.
func boundDescribed(learned, described float64) float64 {
	const maxFactor = 2
	described = min(max(described, minRate), maxRate)
	if learned == 0 {
		return described
	}
	return min(max(described, learned/maxFactor), learned*maxFactor)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// serverRates returns the prefill and decode rates assumed for one server.
func serverRates(r Rates, row *backend.Row) (prefill, decode float64) {
	return r.prefill(row.PrefillRate), r.decode(row.DecodeRate)
}
