package gatewaynode

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/workspace"
)

func TestStatusNamesWhoWaits(t *testing.T) {
	got := waitingRequests([]workspace.Waiting{
		{Pool: "llm", Class: request.ClassLarge, Workspace: "b", Requests: 2, Late: 1, Oldest: 1500 * time.Millisecond},
		{Pool: "llm", Class: request.ClassLarge, Workspace: "a", Requests: 1},
	})
	want := []admin.WaitingRequests{
		{Service: "llm", Class: "32k-100k", Workspace: "a", Requests: 1},
		{Service: "llm", Class: "32k-100k", Workspace: "b", Requests: 2, Late: 1, OldestMS: 1500},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
