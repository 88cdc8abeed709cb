package entry

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
)

// Symptom: while all servers are busy, short prompts are refused again and
// again and end as not run.
// Sequence: each server has more ahead than the entry expected, and refuses.
// Cause: a bound on the wait at every attempt; after some it must be lifted.
func TestBoundOnTheWaitIsLiftedAfterRefusals(t *testing.T) {
	to := routing.Choice{QueueWait: 30 * time.Millisecond}
	for _, c := range []struct {
		refusals int
		tokens   int64
		to       routing.Choice
		want     uint64
	}{
		{0, 1_000, to, 50},
		{waitRefusals - 1, 1_000, to, 50},
		{waitRefusals, 1_000, to, 0},
		{0, request.LargeTokens, to, 0},      // a long prompt only chooses
		{0, 1_000, routing.Choice{}, 0},      // a policy that estimates nothing
		{0, request.LargeTokens - 1, to, 50}, // the longest that is bound
	} {
		call := &call{spec: &request.Spec{PromptTokens: c.tokens}, body: &chatBody{}, refusals: c.refusals}
		if got := call.maxWait(c.to); got != c.want {
			t.Errorf("%+v: got %d ms", c, got)
		}
	}
}
