package capacity

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Verdicts on a Figure.
const (
	VerdictNone = ""     // no limit stands beside it
	VerdictOK   = "ok"   // within
	VerdictOver = "over" // above
	VerdictTop  = "edge" // within by less than edgePart
)

// edgePart of a limit is what a figure must leave free to count as within.
const edgePart = 0.1

// Figure is one number of the page.
type Figure struct {
	Name      string  `json:"name"`
	Value     float64 `json:"value"`
	Unit      string  `json:"unit"`
	Limit     float64 `json:"limit,omitempty"` // in Unit; 0: none
	Verdict   string  `json:"verdict,omitempty"`
	Formula   string  `json:"formula"`
	Mechanism string  `json:"mechanism"`
}

// judge sets the verdict.
func (f Figure) judge() Figure {
	switch {
	case f.Limit == 0:
		f.Verdict = VerdictNone
	case f.Value > f.Limit || math.IsNaN(f.Value):
		f.Verdict = VerdictOver
	case f.Value > f.Limit*(1-edgePart):
		f.Verdict = VerdictTop
	default:
		f.Verdict = VerdictOK
	}
	return f
}

// Table is the figures of one role, or of one event.
type Table struct {
	Title   string   `json:"title"`
	Figures []Figure `json:"figures"`
}

func (t *Table) add(f Figure) { t.Figures = append(t.Figures, f.judge()) }

// Page is all tables of one fleet.
type Page struct {
	Fleet  string  `json:"fleet"`
	Tables []Table `json:"tables"`
}

// Over returns the figures above their limits, each with its table's title.
func (p Page) Over() []string {
	var out []string
	for _, t := range p.Tables {
		for _, f := range t.Figures {
			if f.Verdict == VerdictOver {
				out = append(out, fmt.Sprintf("%s: %s, %s against %s", t.Title, f.Name, number(f.Value, f.Unit), number(f.Limit, f.Unit)))
			}
		}
	}
	return out
}

// WriteMarkdown prints the tables.
func (p Page) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "## Fleet: %s\n", p.Fleet)
	for _, t := range p.Tables {
		fmt.Fprintf(&b, "\n### %s\n\n", t.Title)
		b.WriteString("| Figure | Value | Limit | | Formula | Mechanism |\n|---|---:|---:|---|---|---|\n")
		for _, f := range t.Figures {
			limit := ""
			if f.Limit != 0 {
				limit = number(f.Limit, f.Unit)
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", f.Name, number(f.Value, f.Unit), limit, f.Verdict, f.Formula, f.Mechanism)
		}
	}
	b.WriteString("\nOver their limits:\n\n")
	over := p.Over()
	for _, line := range over {
		fmt.Fprintf(&b, "- %s\n", line)
	}
	if len(over) == 0 {
		b.WriteString("- none\n")
	}
	_, err := io.WriteString(w, b.String())
	return errors.Annotate(err, "step write page")
}

// writeSlopes prints the lines that the tables follow from.
func (s Slopes) writeSlopes(b *strings.Builder) {
	fmt.Fprintf(b, "## Slopes\n\nMeasured with %s. Residual: the largest distance from the line, as part of the largest value.\n\n", s.Go)
	for _, note := range s.Notes {
		fmt.Fprintf(b, "- %s\n", note)
	}
	b.WriteString("\n| Line | Intercept | Slope | Units | Sizes | Residual | Measured |\n|---|---:|---:|---|---|---:|---|\n")
	names := make([]string, 0, len(s.Lines))
	for name := range s.Lines {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		l := s.Lines[name]
		var sizes []string
		for _, p := range l.Points {
			sizes = append(sizes, strconv.FormatFloat(p.X, 'g', -1, 64))
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s by %s | %s | %.1f%% | %s |\n", l.Name, number(l.Intercept, ""), number(l.Slope, ""),
			l.Y, l.X, strings.Join(sizes, ", "), 100*l.Residual, l.Source)
	}
}

// number prints three significant digits.
func number(v float64, unit string) string {
	if unit == "B" || unit == "B/s" {
		return scaled(v, unit)
	}
	text := plain(v)
	switch unit {
	case "":
		return text
	case "%":
		return text + "%"
	}
	return text + " " + unit
}

func scaled(v float64, unit string) string {
	switch size := math.Abs(v); {
	case size >= 1e6:
		return plain(v/1e6) + " M" + unit
	case size >= 1e3:
		return plain(v/1e3) + " k" + unit
	}
	return plain(v) + " " + unit
}

func plain(v float64) string {
	switch size := math.Abs(v); {
	case size == 0:
		return "0"
	case size >= 100:
		return fmt.Sprintf("%.0f", v)
	case size >= 10:
		return fmt.Sprintf("%.1f", v)
	case size >= 0.001:
		return fmt.Sprintf("%.3g", v)
	}
	return "<0.001"
}

// Markers of the printed part of the page.
const (
	markerBegin = "<!-- capacity:begin -->\n"
	markerEnd   = "<!-- capacity:end -->\n"
)

// fleetOrder is the order of the fleets on the page.
var fleetOrder = []string{"letter", "derwent", "atlas"}

// printed returns the part between the markers.
func printed(s Slopes) (string, error) {
	var b strings.Builder
	for _, name := range fleetOrder {
		if err := Compute(fleets[name], s).WriteMarkdown(&b); err != nil {
			return "", errors.Trace(err)
		}
		b.WriteString("\n")
	}
	s.writeSlopes(&b)
	return b.String(), nil
}

// render returns the page with its printed part made anew. Errors match
// ErrPage.
func render(page []byte, s Slopes) ([]byte, error) {
	head, rest, ok := bytes.Cut(page, []byte(markerBegin))
	_, tail, closed := bytes.Cut(rest, []byte(markerEnd))
	if !ok || !closed {
		return nil, errors.Annotate(ErrPage, "step find markers")
	}
	text, err := printed(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return slices.Concat(head, []byte(markerBegin), []byte(text), []byte(markerEnd), tail), nil
}

// RewritePage makes the printed part of a page anew. Errors match ErrPage where
// the page has no markers.
func RewritePage(path string, s Slopes) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotatef(err, "step read page %s", path)
	}
	page, err = render(page, s)
	if err != nil {
		return errors.Annotatef(err, "step render page %s", path)
	}
	return errors.Annotatef(os.WriteFile(path, page, 0o644), "step write page %s", path)
}
