package load

import (
	"fmt"
	"io"

	"github.com/briarturn/briarturn/internal/table"
)

// WriteTable prints the report for a reader.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "mix %s, %.1f requests/s for %v, seed %d, targets %v\n", r.Mix, r.Rate, r.For, r.Seed, r.Targets)
	if err := r.writeOutcomes(w); err != nil {
		return err
	}
	if err := r.writeLatencies(w); err != nil {
		return err
	}
	if err := r.writeSpaces(w); err != nil {
		return err
	}
	fmt.Fprintf(w, "goodput %.0f output tokens/s, %.0f tokens/s with prompts; send lag p99 %s ms, max %s ms\n",
		r.GoodputOutput, r.GoodputTotal, millis(r.SendLag.P99), millis(r.SendLag.Max))
	if r.LongIdeal.N > 0 {
		fmt.Fprintf(w, "TTFT of prompts over 100k / ideal: p50 %.2f, p99 %.2f\n", r.LongIdeal.P50, r.LongIdeal.P99)
	}
	r.writeReasons(w)
	return nil
}

func (r *Report) writeOutcomes(w io.Writer) error {
	header := []string{"class", "sent", "finished", "in time", "not run", "unknown", "transport", "overdue", "cut", "doubled", "reordered", "crossed", "unsent"}
	var rows [][]string
	for _, row := range r.Rows {
		line := []string{row.Class}
		for _, n := range []int64{row.Sent, row.Finished, row.InTime, row.NotRun, row.Unknown, row.Transport, row.Overdue, row.Cut, row.Doubled, row.Reordered, row.Crossed, row.Unsent} {
			line = append(line, fmt.Sprint(n))
		}
		rows = append(rows, line)
	}
	return table.Write(w, header, rows)
}

func (r *Report) writeLatencies(w io.Writer) error {
	header := []string{"class, ms", "TTFT p50", "p95", "p99", "inter-token p50", "p95", "p99", "end-to-end p50", "p95", "p99"}
	var rows [][]string
	for _, row := range r.Rows {
		line := []string{row.Class}
		for _, q := range []Quantiles{row.TTFT, row.InterToken, row.EndToEnd} {
			line = append(line, cells(q)...)
		}
		rows = append(rows, line)
	}
	return table.Write(w, header, rows)
}

func (r *Report) writeSpaces(w io.Writer) error {
	header := []string{"workspace", "sent", "token share", "short TTFT p50", "p95", "p99"}
	var rows [][]string
	for _, s := range r.Spaces {
		line := []string{s.Workspace, fmt.Sprint(s.Sent), fmt.Sprintf("%.3f", s.TokenShare)}
		rows = append(rows, append(line, cells(s.ShortTTFT)...))
	}
	return table.Write(w, header, rows)
}

func (r *Report) writeReasons(w io.Writer) {
	all := r.All()
	for _, kind := range []struct {
		name    string
		reasons map[string]int64
	}{
		{"not run", all.NotRunReasons},
		{"outcome unknown", all.UnknownReasons},
		{"transport", all.TransportReasons},
	} {
		if len(kind.reasons) > 0 {
			fmt.Fprintf(w, "%s by reason: %v\n", kind.name, kind.reasons)
		}
	}
}

// cells prints a distribution, or dashes where nothing was measured.
func cells(q Quantiles) []string {
	if q.N == 0 {
		return []string{"-", "-", "-"}
	}
	return []string{millis(q.P50), millis(q.P95), millis(q.P99)}
}

func millis(v float64) string { return fmt.Sprintf("%.1f", v) }
