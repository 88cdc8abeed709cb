package placement

import (
	"math"
	"time"
)

// EngineProfile is the performance profile that operators declare for the engines of a
// service: step times and capacity.
type EngineProfile struct {
	Capacity     int // maximum number of concurrent requests
	MemoryTokens int
	Stride       int // steps in a pass that decodes at least one stream
	Chunk        int // maximum number of prompt tokens that one step prefills
	// StepTime is the base time of a step. SequenceTime is added for each decoding stream
	// and ContextTime for every 1,000 tokens of context of each decoding stream.
	StepTime, SequenceTime, ContextTime time.Duration
	PrefillRate                         float64       // prompt tokens prefilled per second
	PairsTime                           time.Duration // prefill time for a million pairs of a token and an earlier one
	HopTime                             time.Duration // added to a step of a spread prompt; 0 if helpers aren't supported
	UsualPrompt                         int           // mean length of a prompt in tokens; 0: not declared
}

// supportsHelpers reports whether engines can prefill and hold parts of prompts for each
// other. Operators declare a HopTime only for engines that can.
func (e *EngineProfile) supportsHelpers() bool { return e.HopTime > 0 }

// million is the number of token pairs that PairsTime refers to.
const million = 1e6

// PrefillTime returns how long an idle engine takes to prefill a part of a prompt. The part
// has the given number of tokens and a proportional share of the token pairs of a prompt of
// promptTokens tokens.
func (e *EngineProfile) PrefillTime(tokens, promptTokens int) time.Duration {
	if e == nil || e.PrefillRate <= 0 || promptTokens <= 0 {
		return 0
	}
	linear := float64(tokens) / e.PrefillRate * float64(time.Second)
	pairs := float64(tokens) * float64(promptTokens) / 2 / million * float64(e.PairsTime)
	return time.Duration(linear + pairs)
}

// DecodePassTime returns the decode time of one pass with the given number of streams,
// whose contexts have contextTokens tokens in total.
func (e *EngineProfile) DecodePassTime(streams int, contextTokens int) time.Duration {
	if streams == 0 {
		return 0
	}
	step := float64(e.StepTime) + float64(streams)*float64(e.SequenceTime) + float64(contextTokens)/1000*float64(e.ContextTime)
	return time.Duration(step * float64(max(1, e.Stride)))
}

// isLong reports whether prefill of the given length more than doubles a pass of an engine that
// decodes as many streams as it can, so that all of them pause for longer than they do by themselves.
func (e *EngineProfile) isLong(prefill time.Duration) bool {
	return prefill > e.DecodePassTime(e.Capacity, e.Capacity*e.UsualPrompt)
}

// Chunks returns the number of steps that prefill the given number of tokens.
func (e *EngineProfile) Chunks(tokens int) int {
	return int(math.Ceil(float64(tokens) / float64(max(1, e.Chunk))))
}

// decodeTime returns how long an idle engine takes to decode the given number of tokens; 0
// for a plain service.
func (e *EngineProfile) decodeTime(tokens int) time.Duration {
	if e == nil {
		return 0
	}
	return time.Duration(tokens) * e.StepTime
}

// ExpectedTimes returns the least time to expect from the placement of a prompt on busy engines
// with a free slot until its first token, and the expected time from there until the end of the
// answer, whose length has the given upper bound.
func (e *EngineProfile) ExpectedTimes(promptTokens, maxOutputTokens int) (firstToken, rest time.Duration) {
	if e == nil {
		return 0, 0
	}
	prefill := e.PrefillTime(promptTokens, promptTokens)
	if e.supportsHelpers() {
		most := time.Duration(spreadSizes[len(spreadSizes)-1])
		prefill = max(prefill/most, min(prefill, minPartTime))
	}
	const passes = 2 // one that is in progress, and the one with the prompt
	firstToken = prefill + passes*e.DecodePassTime(e.Capacity, 0)
	return firstToken, scale(e.decodeTime(maxOutputTokens), meanOutputShare)
}
