package agent

import (
	"testing"
	"testing/synctest"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Two entries choose the same engine by reports of the same age. The agent must
// refuse a short prompt that would wait longer than its entry expected, so that
// the entry asks another engine; otherwise first tokens of short prompts come
// late on some engines while others are idle.
func TestShortPromptWithLongWaitIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		ahead     request.Class // class of the prompt that is already there
		own       request.Class
		maxWaitMs uint64 // milliseconds
		refused   bool
	}{
		"wait above the limit":          {request.ClassShort, request.ClassShort, 50, true},
		"wait within the limit":         {request.ClassShort, request.ClassShort, 2000, false},
		"no limit":                      {request.ClassShort, request.ClassShort, 0, false},
		"long prefill yields":           {request.ClassLarge, request.ClassShort, 150, false},
		"long prefill delays by a step": {request.ClassLarge, request.ClassShort, 50, true},
		"long prompt is not refused":    {request.ClassShort, request.ClassLarge, 50, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newFakeEngine()
				a := startAgent(t, testConfig(e))
				first := chatStart("first")
				first.Priority, first.PromptTokens = int32(c.ahead), 800
				begin(t, a, first)
				synctest.Wait()
				second := chatStart("second")
				second.Priority, second.MaxWaitMs = int32(c.own), c.maxWaitMs
				at := open(t, a, second)
				down := at.recv()
				if got := down.GetRefuse().GetCode() == wirepb.RefuseCode_REFUSE_BUSY; got != c.refused {
					t.Fatalf("refused %v, want %v: %v", got, c.refused, down)
				}
			})
		})
	}
}
