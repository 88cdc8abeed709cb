package placement

import (
	"time"
)

// AttemptID names one attempt across entries.
type AttemptID struct {
	Owner uint64 // incarnation of the entry that sent it
	Seq   uint64 // of that entry
}

// Attempt is one attempt on one or more servers, as entries tell each other of it.
type Attempt struct {
	ID      AttemptID
	Server  uint64   // ServerKey of the server that answers
	Helpers []uint64 // ServerKey of those that read parts
	// PartTime is how long each of them reads, and PartTokens how much.
	PartTime     time.Duration
	PartTokens   int
	MemoryTokens int // tokens kept at Server until the attempt ends
	// Holders keep parts of a prompt that Server has no room for, HolderMemory
	// tokens each, until the attempt ends.
	Holders            []uint64
	HolderTokens       int
	PauseObjective     time.Duration // longest pause between events on time; 0: no stream
	FirstTokenDeadline time.Time     // when the first token is still on time
	Weight             float64       // what being on time is worth, beside other work
	Decoding           bool          // the first token has come
}

// weightTokens is the prompt that is worth as much as the fixed part of a request.
// With it a notice of 5,000 tokens weighs 1.5 and a review of 133,000 weighs 14,
// near what their owners give for them.
const weightTokens = 10_000

// WeightOf estimates what being on time is worth from the size of a prompt, since
// operators declare no worth.
func WeightOf(tokens int) float64 { return 1 + float64(tokens)/weightTokens }

// LateLoss is the part of the weight that is lost by being late: late answers earn
// about a quarter.
const LateLoss = 0.75

// ramp rises from 0 at from to 1 at to.
func ramp(x, from, to time.Duration) float64 {
	if x <= from {
		return 0
	}
	if x >= to {
		return 1
	}
	return float64(x-from) / float64(to-from)
}
