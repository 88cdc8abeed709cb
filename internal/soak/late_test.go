package soak

import (
	"os"
	"testing"
	"time"
)

// Guards against a server that stays cold for longer than it declared: the order that
// makes it so waits while the server is paused, and entries, which are free to send by
// then, are laid a crash to.
func TestPausedServerIsColdNoLongerThanDeclared(t *testing.T) {
	plan := []Step{
		{At: calmStart, For: 5 * time.Second, Fault: ServerCold, Target: 0},
		{At: calmStart + coldNotice - 100*time.Millisecond, For: 1800 * time.Millisecond, Fault: ServerPause, Target: 0},
	}
	report, err := runPlan(t.Context(), Options{
		Entries: 2, Servers: 1, Callers: 24, Daemon: []string{os.Args[0]}, Dir: t.TempDir(),
		Env: []string{childVariable + "=1"},
	}, plan)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Errorf("%s: %s", v.Promise, v.Detail)
	}
}
