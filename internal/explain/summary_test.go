package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const counted = `
{"events":5,"first_ms":100,"msg":"request","objective_ms":300,"outcome":"answered","pause_limit_ms":250,"pause_ms":60,"server":"a","status":200,"time":"2026-01-01T10:00:01.000Z","tokens":2000,"took_ms":900}
{"events":5,"first_ms":400,"msg":"request","objective_ms":300,"outcome":"answered","pause_limit_ms":250,"pause_ms":60,"server":"a","status":200,"time":"2026-01-01T10:00:01.500Z","tokens":2000,"took_ms":900}
{"events":5,"first_ms":100,"msg":"request","objective_ms":300,"outcome":"answered","pause_limit_ms":250,"pause_ms":900,"server":"b","status":200,"time":"2026-01-01T10:00:01.900Z","tokens":2000,"took_ms":1800}
{"first_ms":4000,"msg":"request","objective_ms":3000,"outcome":"answered","pause_limit_ms":1000,"pause_ms":1200,"server":"b","status":200,"time":"2026-01-01T10:00:07.000Z","tokens":200000,"took_ms":5000}
{"msg":"request","objective_ms":3000,"outcome":"no_server","status":503,"time":"2026-01-01T10:00:02.200Z","tokens":200000,"took_ms":150}
{"msg":"request","objective_ms":300,"outcome":"broken_off","server":"a","status":200,"time":"2026-01-01T10:00:03.000Z","tokens":2000,"took_ms":500}
{"msg":"request","objective_ms":300,"outcome":"unknown_key","status":401,"time":"2026-01-01T10:00:03.000Z","tokens":2000,"took_ms":0}
{"msg":"request","objective_ms":150,"outcome":"answered","server":"plain","status":200,"time":"2026-01-01T10:00:03.000Z","took_ms":20}
{"msg":"attempt failed","request":"x","time":"2026-01-01T10:00:03.000Z"}
`

func TestSummaryCountsWaysAndLoss(t *testing.T) {
	lines, _, err := Read(strings.NewReader(counted))
	if err != nil {
		t.Fatal(err)
	}
	s := Summarize(lines, 2*time.Second)
	// A caller without an answer counts one, a late one half.
	const none, late = 1.0, 0.5
	want := []Row{
		{Key: "1k-4k", Requests: 4, Ways: map[Way]int{InTime: 1, LateFirst: 1, LatePause: 1, Broken: 1}, Reasons: map[string]int{"broken_off": 1}, Lost: 2*late + none},
		{Key: "100k-1M", Requests: 2, Ways: map[Way]int{LateBoth: 1, Refused: 1}, Reasons: map[string]int{"no_server": 1}, Lost: late + none},
	}
	if d := cmp.Diff(want, s.Classes); d != "" {
		t.Error(d)
	}
	var windows, servers []string
	for _, r := range s.Windows {
		windows = append(windows, r.Key)
	}
	for _, r := range s.Servers {
		servers = append(servers, r.Key)
	}
	if d := cmp.Diff([]string{"10:00:00", "10:00:02"}, windows); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]string{"a", "b"}, servers); d != "" {
		t.Error(d)
	}
}
