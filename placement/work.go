package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// AttemptID identifies an attempt across all entries.
type AttemptID struct {
	Owner uint64 // incarnation of the entry that made the attempt
	Seq   uint64 // sequence number within that entry
}

// Attempt is one attempt on one or more servers, in the form that entries exchange.
type Attempt struct {
	ID      AttemptID
	Server  uint64   // ServerKey of the primary server
	Helpers []uint64 // ServerKeys of the servers that prefill parts
	// PartTime is the prefill time of each server's part, and PartTokens the length of the
	// part.
	PartTime     time.Duration
	PartTokens   int
	MemoryTokens int // tokens held on Server until the attempt ends
	// Holders hold the prompt if Server has no room for all of it, each HolderTokens tokens
	// until the attempt ends. Server is one of them.
	Holders            []uint64
	HolderTokens       int
	PauseObjective     time.Duration // longest pause between events that counts as on time; 0 if not streamed
	FirstTokenDeadline time.Time     // latest time at which the first token is on time
	Weight             float64       // value of being on time, relative to other attempts
	Decoding           bool          // the first token has arrived
	Workspace          uint32        // WorkspaceKey of its workspace; 0: none
}

// PromptTokens returns the length of the prompt.
func (a Attempt) PromptTokens() int { return a.PartTokens * (1 + len(a.Helpers)) }

// WorkspaceKey returns the key that identifies a workspace in messages between entries; 0 for
// no workspace.
func WorkspaceKey(name string) uint32 {
	if name == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(name))
}

// tokensPerWeight is the prompt length that adds 1 to the fixed weight 1 of a request. With
// this value a notice of 5,000 tokens weighs 1.5 and a review of 133,000 tokens weighs 14,
// which is close to what their owners pay for them.
const tokensPerWeight = 10_000

// WeightOf estimates the value of an on-time answer from the length of the prompt, because
// operators declare no value.
func WeightOf(tokens int) float64 { return 1 + float64(tokens)/tokensPerWeight }

// LateLoss is the fraction of the weight that is lost if an answer is late: late answers
// earn about a quarter.
const LateLoss = 0.75

// ramp rises linearly from 0 at x = from to 1 at x = to.
func ramp(x, from, to time.Duration) float64 {
	if x <= from {
		return 0
	}
	if x >= to {
		return 1
	}
	return float64(x-from) / float64(to-from)
}
