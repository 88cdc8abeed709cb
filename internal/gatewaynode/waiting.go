package gatewaynode

import (
	"cmp"
	"slices"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/workspace"
)

// waitingRequests converts what waits for room into the form of a node's status.
func waitingRequests(waiting []workspace.Waiting) []admin.WaitingRequests {
	var all []admin.WaitingRequests
	for _, w := range waiting {
		all = append(all, admin.WaitingRequests{
			Service:   w.Pool,
			Class:     w.Class.Name(),
			Workspace: w.Workspace,
			Requests:  w.Requests,
			Late:      w.Late,
			OldestMS:  w.Oldest.Milliseconds(),
		})
	}
	slices.SortFunc(all, func(a, b admin.WaitingRequests) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Workspace, b.Workspace))
	})
	return all
}
