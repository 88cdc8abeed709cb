package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const waited = `
{"msg":"request","node":"n1","objective_ms":300,"outcome":"answered","placed_ms":900,"request":"slow","server":"a","status":200,"time":"2026-01-01T10:00:03.000Z","took_ms":2000,"turns":4,"waited_ms":890,"workspace":"w"}
{"msg":"request","node":"n1","objective_ms":300,"outcome":"answered","placed_ms":0,"request":"later","server":"a","status":200,"time":"2026-01-01T10:00:02.500Z","took_ms":1000,"workspace":"v"}
{"msg":"request","node":"n1","objective_ms":300,"outcome":"answered","placed_ms":600,"request":"after","server":"a","status":200,"time":"2026-01-01T10:00:02.500Z","took_ms":1000,"workspace":"v"}
{"msg":"request","node":"n1","objective_ms":300,"outcome":"answered","placed_ms":0,"request":"before","server":"a","status":200,"time":"2026-01-01T10:00:02.500Z","took_ms":1600,"workspace":"v"}
{"msg":"request","node":"n1","objective_ms":4000,"outcome":"answered","placed_ms":0,"request":"long","server":"a","status":200,"time":"2026-01-01T10:00:02.500Z","took_ms":1000,"workspace":"v"}
{"msg":"request","node":"n2","objective_ms":300,"outcome":"answered","placed_ms":0,"request":"elsewhere","server":"a","status":200,"time":"2026-01-01T10:00:02.500Z","took_ms":1000,"workspace":"v"}
{"msg":"request","node":"n1","objective_ms":300,"outcome":"queue_full","request":"refused","retry_after_ms":700,"status":503,"time":"2026-01-01T10:00:02.500Z","took_ms":1,"workspace":"w"}
`

func TestWaitNamesThoseThatOvertook(t *testing.T) {
	lines, _, err := Read(strings.NewReader(waited))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Request(lines, "slow")
	if err != nil {
		t.Fatal(err)
	}
	wantCause(t, r, "waited 890 ms", "4 times", "1 that came later were sent before it: v 1")
	if len(r.Overtakers) != 1 || r.Overtakers[0].Request != "later" {
		t.Errorf("overtakers %+v", r.Overtakers)
	}
	if r, err = Request(lines, "later"); err != nil || strings.Contains(r.Cause, "waited") {
		t.Errorf("cause %q of a request that didn't wait, %v", r.Cause, err)
	}
	if r, err = Request(lines, "refused"); err != nil {
		t.Fatal(err)
	}
	wantCause(t, r, "as many requests", "700 ms")
}

func TestSummaryCountsWorkspaces(t *testing.T) {
	lines, _, err := Read(strings.NewReader(strings.ReplaceAll(waited, `"outcome"`, `"tokens":2000,"outcome"`)))
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]int{}
	for _, r := range Summarize(lines, time.Second).Workspaces {
		got[r.Key] = r.Requests
	}
	if diff := cmp.Diff(map[string]int{"v": 5, "w": 2}, got); diff != "" {
		t.Error(diff)
	}
}
