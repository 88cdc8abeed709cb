package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/olekukonko/tablewriter"
)

// Report is what a run has shown.
type Report struct {
	Seed       uint64          `json:"seed"`
	Requests   map[Outcome]int `json:"requests"`
	Faults     map[Fault]int   `json:"faults"`
	Arrivals   int             `json:"arrivals"`
	Violations []Violation     `json:"violations"`
	Timeline   []Slice         `json:"timeline"`
}

// Slice is one second of a run.
type Slice struct {
	Second   int             `json:"second"`
	Requests map[Outcome]int `json:"requests"`
	Faults   []string        `json:"faults"` // that were going on
}

func newReport(o Options, r *record, began time.Time) *Report {
	report := &Report{Seed: o.Seed, Requests: map[Outcome]int{}, Faults: map[Fault]int{}, Violations: r.judge()}
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Arrivals = len(r.arrivals)
	for _, q := range r.requests {
		report.Requests[q.Outcome]++
		s := report.slice(q.Sent.Sub(began))
		s.Requests[q.Outcome]++
	}
	for _, s := range r.spans {
		report.Faults[s.Fault]++
		for at := s.From.Sub(began).Truncate(time.Second); at <= s.To.Sub(began); at += time.Second {
			slice := report.slice(at)
			slice.Faults = append(slice.Faults, fmt.Sprintf("%s %d", s.Fault, s.Target))
		}
	}
	return report
}

// slice returns the second that a time since the beginning is in, with those before it.
func (r *Report) slice(at time.Duration) *Slice {
	second := int(max(at, 0) / time.Second)
	for len(r.Timeline) <= second {
		r.Timeline = append(r.Timeline, Slice{Second: len(r.Timeline), Requests: map[Outcome]int{}})
	}
	return &r.Timeline[second]
}

// outcomes in the order of a table.
var outcomes = []Outcome{Whole, NotRun, Denied, Unknown, Broken, NoEntry, Wrong}

// Write prints the report: each second with its faults and what callers got, and the broken
// promises.
func (r *Report) Write(w io.Writer) error {
	table := tablewriter.NewWriter(w)
	header := []any{"second"}
	for _, o := range outcomes {
		header = append(header, string(o))
	}
	table.Header(append(header, "faults")...)
	for _, s := range r.Timeline {
		row := []any{s.Second}
		for _, o := range outcomes {
			row = append(row, s.Requests[o])
		}
		slices.Sort(s.Faults)
		if err := table.Append(append(row, strings.Join(s.Faults, ", "))...); err != nil {
			return errors.Annotate(err, "step write report")
		}
	}
	if err := table.Render(); err != nil {
		return errors.Annotate(err, "step write report")
	}
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	requests := 0
	for _, n := range r.Requests {
		requests += n
	}
	_, err := fmt.Fprintf(w, "seed %d: %d faults, %d requests, %d arrivals, %d promises broken\n", r.Seed, faults, requests, r.Arrivals, len(r.Violations))
	for _, v := range r.Violations {
		if err == nil {
			_, err = fmt.Fprintf(w, "  %s: %s\n", v.Promise, v.Detail)
		}
	}
	return errors.Annotate(err, "step write report")
}
