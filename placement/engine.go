package placement

import (
	"math"
	"time"
)

// EngineProfile is what operators declare of the engines of a service: how long their
// steps take and what fits.
type EngineProfile struct {
	Capacity     int // requests that it runs at a time
	MemoryTokens int
	Stride       int // steps of a pass that has writers
	Chunk        int // prompt tokens that one step reads at most
	// StepTime is the time of a step, SequenceTime what each writer adds to it,
	// ContextTime what each 1,000 tokens of a writer's context add.
	StepTime, SequenceTime, ContextTime time.Duration
	PrefillRate                         float64       // prompt tokens
	PairsTime                           time.Duration // for a million pairs of a token and any earlier one
	HopTime                             time.Duration // added to a step where a prompt is spread
}

// joins reports whether engines read prompts and keep them for each other: operators
// then declare what that costs a step.
func (e *EngineProfile) joins() bool { return e.HopTime > 0 }

// million scales PairsTime.
const million = 1e6

// PrefillTime returns how long reading a part of a prompt takes on an engine that
// does nothing else: tokens of it, with share of the pairs of a prompt of whole
// tokens.
func (e *EngineProfile) PrefillTime(tokens, whole int) time.Duration {
	if e == nil || e.PrefillRate <= 0 || whole <= 0 {
		return 0
	}
	linear := float64(tokens) / e.PrefillRate * float64(time.Second)
	pairs := float64(tokens) * float64(whole) / 2 / million * float64(e.PairsTime)
	return time.Duration(linear + pairs)
}

// DecodePassTime returns how long the steps of one pass take while writers write with
// contexts of so many tokens together.
func (e *EngineProfile) DecodePassTime(writers int, context int) time.Duration {
	if writers == 0 {
		return 0
	}
	step := float64(e.StepTime) + float64(writers)*float64(e.SequenceTime) + float64(context)/1000*float64(e.ContextTime)
	return time.Duration(step * float64(max(1, e.Stride)))
}

// Chunks returns how many steps read so many tokens.
func (e *EngineProfile) Chunks(tokens int) int {
	return int(math.Ceil(float64(tokens) / float64(max(1, e.Chunk))))
}

// writeTime is how long writing so many tokens takes an engine that does nothing else; 0
// for a plain service.
func (e *EngineProfile) writeTime(tokens int) time.Duration {
	if e == nil {
		return 0
	}
	return time.Duration(tokens) * e.StepTime
}
