package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/briarturn/briarturn/internal/explain"
	"github.com/briarturn/briarturn/internal/table"
)

// percent scales shares of a table.
const percent = 100

// summary tells from log files how requests ended, and where what was lost was lost.
func (t *tool) summary() error {
	lines, err := t.readLogs(t.args.Summary.Files)
	if err != nil {
		return err
	}
	s := explain.Summarize(lines, t.args.Summary.Window)
	return t.print(s, func(w io.Writer) error { return writeSummary(w, s) })
}

func writeSummary(w io.Writer, s *explain.Summary) error {
	for _, part := range []struct {
		title string
		rows  []explain.Row
	}{
		{"prompts", s.Classes},
		{"came at", s.Windows},
		{"workspaces", s.Workspaces},
		{"answered by", s.Servers},
	} {
		if err := writeRows(w, part.title, part.rows, s.Lost); err != nil {
			return err
		}
	}
	return writeCalls(w, s.Calls)
}

// writeCalls prints what the object API was asked for, where the logs tell it.
func writeCalls(w io.Writer, rows []explain.CallRow) error {
	if len(rows) == 0 {
		return nil
	}
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, []string{
			r.Kind, r.Call, r.Reason, r.Outcome, strconv.Itoa(r.Calls), strconv.Itoa(r.Nodes), strconv.Itoa(r.Most),
		})
	}
	return table.Write(w, []string{"object API, kind", "call", "reason", "outcome", "calls", "nodes", "most of one"}, cells)
}

// writeRows prints one table: of each row the share of its requests that ended each
// way, and its share of all that was lost.
func writeRows(w io.Writer, title string, rows []explain.Row, lost float64) error {
	header := []string{title, "requests"}
	for _, way := range explain.Ways() {
		header = append(header, string(way))
	}
	header = append(header, "of the loss", "reasons")
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, cellsOf(r, lost))
	}
	return table.Write(w, header, cells)
}

func cellsOf(r explain.Row, lost float64) []string {
	cells := []string{r.Key, strconv.Itoa(r.Requests)}
	for _, way := range explain.Ways() {
		cells = append(cells, share(float64(r.Ways[way]), float64(r.Requests)))
	}
	return append(cells, share(r.Lost, lost), reasons(r))
}

// share is a part of a whole in percent.
func share(part, whole float64) string {
	if whole <= 0 {
		return "0.0%"
	}
	return fmt.Sprintf("%.1f%%", percent*part/whole)
}

// reasons lists why requests of a row failed, most frequent first.
func reasons(r explain.Row) string {
	names := slices.SortedFunc(maps.Keys(r.Reasons), func(a, b string) int {
		if r.Reasons[a] != r.Reasons[b] {
			return r.Reasons[b] - r.Reasons[a]
		}
		return strings.Compare(a, b)
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, r.Reasons[name])
	}
	return strings.Join(names, ", ")
}
