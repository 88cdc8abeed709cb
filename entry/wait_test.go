package entry

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
)

// Guards against short prompts that fail as not run while all servers are
// busy: each server has a longer queue than the entry expected and refuses the
// attempt because of its limit on the queue wait. After some refusals the
// limit must be lifted.
func TestQueueWaitBoundIsLiftedAfterRefusals(t *testing.T) {
	to := routing.Choice{QueueWait: 30 * time.Millisecond}
	for _, c := range []struct {
		refusals int
		tokens   int64
		to       routing.Choice
		want     uint64
	}{
		{0, 1_000, to, 50},
		{boundedWaitRefusals - 1, 1_000, to, 50},
		{boundedWaitRefusals, 1_000, to, 0},
		{0, request.LargeTokens, to, 0},      // no limit for long prompts
		{0, 1_000, routing.Choice{}, 0},      // the policy estimates no wait
		{0, request.LargeTokens - 1, to, 50}, // the longest prompt with a limit
	} {
		call := &call{spec: &request.Spec{PromptTokens: c.tokens}, body: &requestBody{}, refusals: c.refusals}
		if got := call.maxQueueWaitMs(c.to); got != c.want {
			t.Errorf("%+v: got %d ms", c, got)
		}
	}
}
