package soak

import (
	"os"
	"testing"
	"time"
)

// Guards against an entry that reads what a server sends without end until the request's time is up.
func TestResponsesWithoutEndAreGivenUp(t *testing.T) {
	plan := []Step{
		{At: calmStart, For: 2 * time.Second, Fault: ServerEndless, Target: 0},
		{At: 2 * calmStart, For: 2 * time.Second, Fault: ServerEndless, Target: 1},
	}
	report, err := runPlan(t.Context(), Options{
		Entries: 2, Servers: 2, Callers: 12, Daemon: []string{os.Args[0]}, Dir: t.TempDir(), Env: []string{childVariable + "=1"},
	}, plan)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Errorf("%s: %s", v.Promise, v.Detail)
	}
	if report.Requests[Unknown] == 0 || report.Requests[Whole] == 0 {
		t.Errorf("%v requests: no server sent bytes without end, or none answered", report.Requests)
	}
	t.Log(report.Requests)
}
