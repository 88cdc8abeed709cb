package placement

import "testing"

// Symptom: a policy is switched and nothing changes, or the baseline spreads prompts.
// Sequence: servers have different numbers of requests; prompts of any length come.
// Cause: the choice did not look at the policy.
func TestLeastRequestsIsTheBaseline(t *testing.T) {
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
