package load

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/briarturn/briarturn/request"
)

// ratioScale is what ratios are multiplied by to be kept as integers.
const ratioScale = 1000

// Quantiles sums a distribution up. Latencies are in milliseconds.
type Quantiles struct {
	N   int64   `json:"n"`
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func quantiles(h *hdr.Histogram, scale float64) Quantiles {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / scale }
	q := Quantiles{N: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
	if q.N > 0 {
		q.Max = float64(h.Max()) / scale
	}
	return q
}

// Counts counts requests by how they ended. Sent is the sum of the others,
// but for InTime, which is a part of Finished, and the reasons, which split
// NotRun, Unknown and Transport.
type Counts struct {
	Sent      int64 `json:"sent"`
	Finished  int64 `json:"finished"`
	InTime    int64 `json:"in_time"`
	NotRun    int64 `json:"not_run"`
	Unknown   int64 `json:"outcome_unknown"`
	Transport int64 `json:"transport_errors"`
	Overdue   int64 `json:"overdue"`
	Cut       int64 `json:"cut"`
	Doubled   int64 `json:"doubled"`
	Reordered int64 `json:"reordered"`
	Crossed   int64 `json:"crossed"`
	Unsent    int64 `json:"unsent"`

	NotRunReasons    map[string]int64 `json:"not_run_reasons,omitempty"`
	UnknownReasons   map[string]int64 `json:"outcome_unknown_reasons,omitempty"`
	TransportReasons map[string]int64 `json:"transport_reasons,omitempty"`
}

// wrong returns how many answers were not what their prompts imply.
func (c *Counts) wrong() int64 { return c.Cut + c.Doubled + c.Reordered + c.Crossed }

// maxReasons bounds a map of reasons, which come from the other side.
const maxReasons = 64

func (c *Counts) add(o *outcome) {
	c.Sent++
	if o.inTime {
		c.InTime++
	}
	switch o.status {
	case StatusFinished:
		c.Finished++
	case StatusNotRun:
		c.NotRun++
		count(&c.NotRunReasons, o.reason)
	case StatusUnknown:
		c.Unknown++
		count(&c.UnknownReasons, o.reason)
	case StatusTransport:
		c.Transport++
		count(&c.TransportReasons, o.reason)
	case StatusOverdue:
		c.Overdue++
	case StatusCut:
		c.Cut++
	case StatusDoubled:
		c.Doubled++
	case StatusReordered:
		c.Reordered++
	case StatusCrossed:
		c.Crossed++
	case StatusUnsent:
		c.Unsent++
	}
}

func count(m *map[string]int64, reason string) {
	if *m == nil {
		*m = make(map[string]int64)
	}
	if _, ok := (*m)[reason]; !ok && len(*m) >= maxReasons {
		reason = "other"
	}
	(*m)[reason]++
}

// Row is the report on one length class, on plain services, or on all.
type Row struct {
	Class string `json:"class"`
	Counts
	TTFT       Quantiles `json:"ttft_ms"`
	InterToken Quantiles `json:"inter_token_ms"`
	EndToEnd   Quantiles `json:"end_to_end_ms"` // of finished requests
}

// WorkspaceRow is the report on one workspace.
type WorkspaceRow struct {
	Workspace  string    `json:"workspace"`
	Sent       int64     `json:"sent"`
	ShortTTFT  Quantiles `json:"short_ttft_ms"` // of prompts under 4k tokens
	TokenShare float64   `json:"token_share"`   // of all finished tokens, prompt and output
}

// Report is what one run measured.
type Report struct {
	Mix     string         `json:"mix"`
	Targets []string       `json:"targets"`
	Seed    uint64         `json:"seed"`
	Rate    float64        `json:"rate_per_s"`
	For     time.Duration  `json:"for_ns"`
	Elapsed time.Duration  `json:"elapsed_ns"`
	Only    Subset         `json:"only"`
	Rows    []Row          `json:"rows"`
	Spaces  []WorkspaceRow `json:"workspaces"`
	SendLag Quantiles      `json:"send_lag_ms"` // actual less intended send time
	// Goodput is in tokens/s of requests that finished in time before the
	// last intended send time.
	GoodputOutput float64 `json:"goodput_output_tokens_per_s"`
	GoodputTotal  float64 `json:"goodput_all_tokens_per_s"`
	// LongIdeal is TTFT / Fleet.IdealTTFT of prompts over 100k tokens.
	LongIdeal Quantiles `json:"long_ttft_to_ideal"`
	// Short holds the TTFT of each streamed short prompt, by index.
	Short []Sample `json:"short_samples,omitempty"`
}

// All returns the row over all requests.
func (r *Report) All() *Row { return &r.Rows[rowAll] }

// Class returns the row of a length class.
func (r *Report) Class(c request.Class) *Row { return &r.Rows[c] }

// Whole reports whether no answer was cut, doubled, reordered, crossed or lost: each
// request finished or was refused with a reason that the API allows for.
func (r *Report) Whole() bool {
	c := &r.All().Counts
	return c.wrong()+c.Transport+c.Overdue+c.Unsent == 0
}

func rowName(i int) string {
	switch i {
	case rowService:
		return "service"
	case rowAll:
		return "all"
	}
	return request.Class(i).Name()
}

func (r *recorder) report(m *Mix) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := &Report{
		Mix:           m.Name,
		SendLag:       quantiles(r.sendLag, ratioScale),
		LongIdeal:     quantiles(r.ideal, ratioScale),
		GoodputOutput: float64(r.good.output) / r.window.Seconds(),
		GoodputTotal:  float64(r.good.total) / r.window.Seconds(),
		Short:         slices.Clone(r.short),
	}
	slices.SortFunc(rep.Short, func(a, b Sample) int { return a.Index - b.Index })
	for i, t := range r.rows {
		rep.Rows = append(rep.Rows, Row{
			Class:      rowName(i),
			Counts:     t.counts,
			TTFT:       quantiles(t.ttft, ratioScale),
			InterToken: quantiles(t.gap, ratioScale),
			EndToEnd:   quantiles(t.total, ratioScale),
		})
	}
	rep.Spaces = r.spaceRows(m)
	return rep
}

func (r *recorder) spaceRows(m *Mix) []WorkspaceRow {
	var total int64
	for i := range r.spaces {
		total += r.spaces[i].tokens
	}
	rows := make([]WorkspaceRow, len(r.spaces))
	for i := range r.spaces {
		s := &r.spaces[i]
		rows[i] = WorkspaceRow{
			Workspace: m.Workspaces[i].Name,
			Sent:      s.sent,
			ShortTTFT: quantiles(s.ttft, ratioScale),
		}
		if total > 0 {
			rows[i].TokenShare = float64(s.tokens) / float64(total)
		}
	}
	return rows
}
