package ctl

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/table"
)

// allProcesses stands in the table for the sum over the processes.
const allProcesses = "all"

// sumWaiting returns what waits at all processes together, by service, class and workspace.
func (f *fleetStatus) sumWaiting() []admin.WaitingRequests {
	type key struct{ service, class, workspace string }
	sums := map[key]*admin.WaitingRequests{}
	for _, p := range f.Processes {
		for _, w := range p.Waiting {
			k := key{w.Service, w.Class, w.Workspace}
			sum := sums[k]
			if sum == nil {
				sum = &admin.WaitingRequests{Service: w.Service, Class: w.Class, Workspace: w.Workspace}
				sums[k] = sum
			}
			sum.Requests += w.Requests
			sum.Late += w.Late
			sum.OldestMS = max(sum.OldestMS, w.OldestMS)
		}
	}
	var all []admin.WaitingRequests
	for _, sum := range sums {
		all = append(all, *sum)
	}
	slices.SortFunc(all, func(a, b admin.WaitingRequests) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class),
			cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Workspace, b.Workspace))
	})
	return all
}

// writeWaiting writes who waits at each process and at all together.
func (f *fleetStatus) writeWaiting(w io.Writer) error {
	var cells [][]string
	for _, p := range f.Processes {
		cells = append(cells, waitingCells(p.Name, p.Waiting)...)
	}
	if len(cells) == 0 {
		return nil
	}
	cells = append(cells, waitingCells(allProcesses, f.Waiting)...)
	return table.Write(w, []string{"waits at", "service", "class", "workspace", "requests", "late", "oldest ms"}, cells)
}

func waitingCells(process string, waiting []admin.WaitingRequests) [][]string {
	var cells [][]string
	for _, r := range waiting {
		cells = append(cells, []string{
			process, r.Service, r.Class, r.Workspace,
			fmt.Sprint(r.Requests), fmt.Sprint(r.Late), fmt.Sprint(r.OldestMS),
		})
	}
	return cells
}
