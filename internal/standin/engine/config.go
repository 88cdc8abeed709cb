// Package engine is a stand-in for a model engine: continuous batching with a
// prefill rate, a decode step and a memory limit, in real time, behind the HTTP
// API of docs/design/0001-whole-path.md.
//
// Rules:
//   - Time passes in steps. A step costs (prefill tokens in it) / PrefillRate
//     plus, if any sequence decodes, DecodeBase + DecodePerSequence for each.
//   - used <= capacity at every moment. A prompt's memory is taken at admission
//     to the batch, output memory grows by a token a step; where it does not
//     fit, the last in order gives up its memory and is prefilled again later.
//   - Order everywhere: priority, then arrival.
//   - The answer is that of package answer; an engine that resumes or decodes
//     over a group gives the same text as one that ran alone.
//   - The prefix cache has memory of its own (PrefixCacheTokens).
//   - Lock: Server.mu guards the scheduler, exported segments, cache and
//     counters. It is never held while a response is written.
package engine

import (
	"cmp"
	"time"
)

// Config is what an engine can do. Zero fields take the defaults of
// DefaultConfig.
type Config struct {
	Models  []string  // served after each start, without a version
	Weights []Weights // the same, with one

	PrefillRate       float64       // tokens/s
	DecodeBase        time.Duration // cost of a step in which anything decodes
	DecodePerSequence time.Duration // added for each sequence that decodes
	MemoryTokens      int           // KV memory
	MaxBatch          int           // sequences in one step
	MaxQueue          int           // sequences that wait; more are refused as not run
	ChunkTokens       int           // prefill budget of one step, tokens

	AnswerTokensPerChunk int // output tokens in one SSE chunk
	PrefixCacheTokens    int // memory of the prefix cache; negative for none

	LoadLag    time.Duration // GET /load shows the state of this long ago
	CacheLag   time.Duration // cache events appear this late
	CacheGap   int           // every CacheGap-th cache event is lost; 0 for none
	TransferUs int           // time to attach one exported segment, microseconds

	ModelLoadTime time.Duration // an order to load takes this long
	ChecksFencing bool          // orders with an old fencing number are refused

	KillMarker   string        // a prompt that contains it kills the engine; empty for none
	RestartAfter time.Duration // a killed engine comes back after this; 0 for never by itself
}

// Weights are a model, or an adapter of the model Parent.
type Weights struct{ Name, Parent, Version string }

// DefaultConfig is a small, fast engine for tests and the dev run.
func DefaultConfig() Config {
	return Config{
		Models:               []string{"briar"},
		PrefillRate:          200_000,
		DecodeBase:           4 * time.Millisecond,
		DecodePerSequence:    20 * time.Microsecond,
		MemoryTokens:         400_000,
		MaxBatch:             256,
		MaxQueue:             4096,
		ChunkTokens:          2048,
		AnswerTokensPerChunk: 4,
		PrefixCacheTokens:    100_000,
		TransferUs:           500,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	if len(c.Models) == 0 && len(c.Weights) == 0 {
		c.Models = d.Models
	}
	c.PrefillRate = cmp.Or(c.PrefillRate, d.PrefillRate)
	c.DecodeBase = cmp.Or(c.DecodeBase, d.DecodeBase)
	c.DecodePerSequence = cmp.Or(c.DecodePerSequence, d.DecodePerSequence)
	c.MemoryTokens = cmp.Or(c.MemoryTokens, d.MemoryTokens)
	c.MaxBatch = cmp.Or(c.MaxBatch, d.MaxBatch)
	c.MaxQueue = cmp.Or(c.MaxQueue, d.MaxQueue)
	c.ChunkTokens = cmp.Or(c.ChunkTokens, d.ChunkTokens)
	c.AnswerTokensPerChunk = cmp.Or(c.AnswerTokensPerChunk, d.AnswerTokensPerChunk)
	c.PrefixCacheTokens = cmp.Or(c.PrefixCacheTokens, d.PrefixCacheTokens)
	c.TransferUs = cmp.Or(c.TransferUs, d.TransferUs)
	return c
}
