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

// Weight returns the weight of a request against others of the service: one for its caller, and its
// work, which is the length of its prompt against that of the usual one. Operators declare how long
// the usual prompt is; without it all callers weigh the same.
func (e *EngineProfile) Weight(promptTokens int) float64 {
	const caller = 1
	if e == nil || e.UsualPrompt <= 0 {
		return caller
	}
	return caller + float64(promptTokens)/float64(e.UsualPrompt)
}

// weight returns the weight of the query.
func (q Query) weight() float64 { return q.Engine.Weight(q.InputTokens) }

// promises is the number of promises that a request has: the objective of its route and the time of
// its caller. Each that is missed costs the weight of the request.
const promises = 2

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
