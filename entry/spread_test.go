package entry

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
)

// hugePromptBody returns a request with a prompt of about the given number of
// tokens, which fits on one engine.
func hugePromptBody(tokens int) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"%s"}],"max_tokens":100}`,
		strings.Repeat("0123456789ab", tokens/3))
}

// groupMembers returns the number of servers in the group that ran the prompt,
// 1 if there was no group.
func groupMembers(b *testEntry) int {
	for _, a := range b.fleet.agents {
		for _, start := range a.starts {
			if len(start.GetGroup()) > 0 {
				return len(start.GetGroup())
			}
		}
	}
	return 1
}

func TestHugePromptIsSpreadToReduceTTFT(t *testing.T) {
	for name, c := range map[string]struct {
		servers, tokens int
		spread          int64
		want            int
	}{
		"one member for each part":    {16, 600_000, 128_000, 5},
		"at least three":              {16, 120_000, 128_000, 3},
		"at most half of the servers": {8, 900_000, 128_000, 4},
		"not in a small pool":         {5, 120_000, 128_000, 1},
		"not if switched off":         {16, 120_000, -1, 1},
		"not for shorter prompts":     {16, 90_000, 10_000, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newGroupFleet(c.servers)
				f.memory = 1_000_000
				b := newTestEntry(t, f, Limits{TokensPerGroupMember: c.spread})
				assertText(t, chat(b, hugePromptBody(c.tokens)), tokenText(3))
				if n := groupMembers(b); n != c.want {
					t.Fatalf("spread over %d servers, want %d", n, c.want)
				}
				synctest.Wait()
				b.assertNothingHeld(t)
			})
		})
	}
}
