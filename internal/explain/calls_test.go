package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const calls = `
{"call":"watch","kind":"servers","msg":"object API call","node":"a","outcome":"changed","reason":"follow","time":"2026-01-01T10:00:01.000Z"}
{"call":"watch","kind":"servers","msg":"object API call","node":"a","outcome":"changed","reason":"follow","time":"2026-01-01T10:00:02.000Z"}
{"call":"watch","kind":"servers","msg":"object API call","node":"b","outcome":"changed","reason":"follow","time":"2026-01-01T10:00:02.000Z"}
{"call":"list","kind":"servers","msg":"object API call","node":"b","outcome":"failed","reason":"start","time":"2026-01-01T10:00:00.000Z"}
{"msg":"request","outcome":"answered","status":200,"time":"2026-01-01T10:00:03.000Z","took_ms":20}
`

func TestSummaryCountsCallsOfTheObjectAPI(t *testing.T) {
	lines, _, err := Read(strings.NewReader(calls))
	if err != nil {
		t.Fatal(err)
	}
	want := []CallRow{
		{Kind: "servers", Call: "watch", Reason: "follow", Outcome: "changed", Calls: 3, Nodes: 2, Most: 2},
		{Kind: "servers", Call: "list", Reason: "start", Outcome: "failed", Calls: 1, Nodes: 1, Most: 1},
	}
	if d := cmp.Diff(want, Summarize(lines, time.Second).Calls); d != "" {
		t.Error(d)
	}
}
