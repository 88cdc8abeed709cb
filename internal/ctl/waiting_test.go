package ctl

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/internal/admin"
)

// Guards against an operator having to add up by hand who waits at a dozen entries.
func TestStatusSumsWhoWaitsOverEntries(t *testing.T) {
	short := admin.WaitingRequests{Service: "llm", Class: "1k-4k", Workspace: "w1", Requests: 3, Late: 1, OldestMS: 400}
	other := admin.WaitingRequests{Service: "llm", Class: "1k-4k", Workspace: "w2", Requests: 9}
	more := short
	more.Requests, more.Late, more.OldestMS = 2, 2, 900
	f := &fleetStatus{Processes: []processStatus{
		{Status: admin.Status{Name: "e1", Waiting: []admin.WaitingRequests{short, other}}},
		{Status: admin.Status{Name: "e2", Waiting: []admin.WaitingRequests{more}}},
		{Status: admin.Status{Name: "e3"}},
	}}
	f.Waiting = f.sumWaiting()
	sum := short
	sum.Requests, sum.Late, sum.OldestMS = 5, 3, 900
	if diff := cmp.Diff([]admin.WaitingRequests{other, sum}, f.Waiting); diff != "" {
		t.Error(diff)
	}
	var out bytes.Buffer
	if err := f.writeWaiting(&out); err != nil {
		t.Fatal(err)
	}
	var rows []string
	for row := range strings.Lines(out.String()) {
		if cells := strings.FieldsFunc(row, func(r rune) bool { return r == ' ' || r == '│' || r == '\n' }); strings.Contains(row, "llm") {
			rows = append(rows, strings.Join(cells, " "))
		}
	}
	want := []string{
		"e1 llm 1k-4k w1 3 1 400", "e1 llm 1k-4k w2 9 0 0", "e2 llm 1k-4k w1 2 2 900",
		"all llm 1k-4k w2 9 0 0", "all llm 1k-4k w1 5 3 900",
	}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Error(diff)
	}
}
