package workspace_test

import (
	"context"
	"fmt"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/workspace"
)

// A request waits until it may be dispatched, holds a ticket while it runs, and
// releases it with the number of tokens used. The rate limit refuses the second
// request with not_run.
func ExampleScheduler() {
	s := workspace.NewScheduler(workspace.Options{})
	s.SetCapacity("briar-pool", request.ClassShort, workspace.Capacity{Slots: 8})
	s.SetPolicy("appointments", workspace.Policy{Weight: 6, TokensPerSecond: 1, BurstTokens: 800})

	notice := workspace.Item{Workspace: "appointments", Pool: "briar-pool", Class: request.ClassShort, Cost: 1000}
	ticket, failure := s.Submit(context.Background(), notice)
	if failure != nil {
		fmt.Println(failure)
		return
	}
	_, running := s.Depth()
	fmt.Println("running:", running)
	ticket.Release(1000)

	_, failure = s.Submit(context.Background(), notice)
	fmt.Println(failure.Code, failure.Reason)
	// Output:
	// running: 1
	// not_run rate_limited
}
