package placement

import "testing"

// Switching the policy had no effect, or the baseline spread prompts, because the choice
// ignored the policy. Here prompts of 130,000 tokens arrive at servers with different
// numbers of requests.
func TestLeastRequestsPolicy(t *testing.T) {
	f := newFleet(4)
	f.planner.SetPolicy(LeastRequests)
	taken := map[string]int{}
	for range 4 {
		p := f.place(t, review(130_000))
		if len(p.Helpers)+len(p.Holders) > 0 {
			t.Errorf("helpers %v, holders %v", p.Helpers, p.Holders)
		}
		taken[p.Server.Instance]++
	}
	if len(taken) != 4 {
		t.Errorf("four prompts on %v, want one on each of four servers", taken)
	}
}
