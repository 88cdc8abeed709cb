package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// ErrSweep: a file of a sweep can't be read, or lacks sizes.
const ErrSweep = errors.ConstError("invalid sweep")

// TargetEntries is the size that the design is built towards.
const TargetEntries = 430

// Units of the rows in those of the limits.
const (
	bytesPerMB = 1e6
	bytesPerKB = 1e3
)

// Sweep is what one day showed at several sizes of some deployments. The load grows with
// the size, so that every figure holds what serving takes besides control.
type Sweep struct {
	Sites []SweepSite `json:"sites"`
}

// SweepSite is one deployment.
type SweepSite struct {
	Name  string      `json:"name"`
	Sizes []SweepSize `json:"sizes"`
}

// SweepSize is the day at one size. Middle and busiest are entries.
type SweepSize struct {
	Entries   int     `json:"entries"`
	Servers   int     `json:"servers"`
	Worth     float64 `json:"worth"`
	Middle    Usage   `json:"middle"`
	Busiest   Usage   `json:"busiest"`
	InForce   float64 `json:"in_force_s"`   // until a configuration is acknowledged
	AfterKill float64 `json:"after_kill_s"` // until the next acknowledgement after a kill
	Serving   float64 `json:"serving_s"`    // until it serves after all were killed
}

// Usage is what one entry takes.
type Usage struct {
	Processor float64 `json:"processor_percent"` // of a core
	Memory    float64 `json:"memory_mb"`
	Bytes     float64 `json:"kb_s"` // both ways
	Wakeups   float64 `json:"wakeups_s"`
}

// ReadSweep reads a file of a sweep.
func ReadSweep(path string) (Sweep, error) {
	var s Sweep
	data, err := os.ReadFile(path)
	if err != nil {
		return s, errors.WithType(errors.Annotate(err, "step read sweep"), ErrSweep)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, errors.WithType(errors.Annotatef(err, "step read sweep %s", path), ErrSweep)
	}
	for _, site := range s.Sites {
		if len(site.Sizes) < minSizes {
			return s, errors.Annotatef(ErrSweep, "%s: %d sizes", site.Name, len(site.Sizes))
		}
	}
	return s, nil
}

// Power is y = Factor × x^Exponent.
type Power struct{ Factor, Exponent float64 }

// At returns the value at size x.
func (p Power) At(x float64) float64 { return p.Factor * math.Pow(x, p.Exponent) }

// carry carries the last of the points on to size x by the power's exponent.
func (p Power) carry(points []Point, x float64) float64 {
	last := points[len(points)-1]
	return last.Y * math.Pow(x/last.X, p.Exponent)
}

// leastShown stands for what a sweep shows as nothing: a power has no zero.
const leastShown = 0.05

// fitPower fits a power through the points, by least squares of their logarithms.
func fitPower(points []Point) Power {
	var xs, ys []float64
	for _, p := range points {
		xs = append(xs, math.Log(p.X))
		ys = append(ys, math.Log(max(p.Y, leastShown)))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return Power{Factor: math.Exp(intercept), Exponent: slope}
}

// sweepRow is one figure of a sweep's table.
type sweepRow struct {
	name  string
	limit float64
	of    func(SweepSize) float64
}

var sweepRows = []sweepRow{
	{"processor, middle entry, %", limitCPU, func(s SweepSize) float64 { return s.Middle.Processor }},
	{"processor, busiest, %", limitCPU, func(s SweepSize) float64 { return s.Busiest.Processor }},
	{"memory, middle, MB", limitMemory / bytesPerMB, func(s SweepSize) float64 { return s.Middle.Memory }},
	{"memory, busiest, MB", limitMemory / bytesPerMB, func(s SweepSize) float64 { return s.Busiest.Memory }},
	{"bytes, middle, kB/s", limitBytes / bytesPerKB, func(s SweepSize) float64 { return s.Middle.Bytes }},
	{"bytes, busiest, kB/s", limitBytes / bytesPerKB, func(s SweepSize) float64 { return s.Busiest.Bytes }},
	{"wake-ups, middle, a second", 0, func(s SweepSize) float64 { return s.Middle.Wakeups }},
	{"wake-ups, busiest, a second", 0, func(s SweepSize) float64 { return s.Busiest.Wakeups }},
	{"configuration acknowledged, s", 0, func(s SweepSize) float64 { return s.InForce }},
	{"next acknowledgement after a kill, s", 0, func(s SweepSize) float64 { return s.AfterKill }},
	{"serving after all were killed, s", 0, func(s SweepSize) float64 { return s.Serving }},
}

// markdown prints the tables of a sweep.
func (s Sweep) markdown() string {
	var b strings.Builder
	b.WriteString("## The day at three sizes\n\n")
	fmt.Fprintf(&b, "Of the users' sweep, one play a size. Slope: the exponent of a power fitted through the sizes; the last figures carry the largest size on to %d entries by it. Figures hold the load of serving; limits are those of control alone.\n", TargetEntries)
	for _, site := range s.Sites {
		site.write(&b)
	}
	return b.String()
}

func (s SweepSite) write(b *strings.Builder) {
	fmt.Fprintf(b, "\n### %s\n\n| entries |", s.Name)
	for _, size := range s.Sizes {
		fmt.Fprintf(b, " %d |", size.Entries)
	}
	fmt.Fprintf(b, " slope | %d | limit |\n|---|%s---:|---:|---:|\n| engines |", TargetEntries, strings.Repeat("---:|", len(s.Sizes)))
	for _, size := range s.Sizes {
		fmt.Fprintf(b, " %d |", size.Servers)
	}
	b.WriteString(" | | |\n| worth |")
	for _, size := range s.Sizes {
		fmt.Fprintf(b, " %.3f |", size.Worth)
	}
	b.WriteString(" | | |\n")
	for _, row := range sweepRows {
		row.write(b, s.Sizes)
	}
}

func (r sweepRow) write(b *strings.Builder, sizes []SweepSize) {
	var points []Point
	fmt.Fprintf(b, "| %s |", r.name)
	for _, size := range sizes {
		y := r.of(size)
		points = append(points, Point{X: float64(size.Entries), Y: y})
		fmt.Fprintf(b, " %s |", plain(y))
	}
	power := fitPower(points)
	limit := ""
	if r.limit > 0 {
		limit = plain(r.limit)
	}
	fmt.Fprintf(b, " %.2f | %s | %s |\n", power.Exponent, plain(power.carry(points, TargetEntries)), limit)
}

// Markers of the sweep's part of the page.
const (
	sweepBegin = "<!-- sweep:begin -->\n"
	sweepEnd   = "<!-- sweep:end -->\n"
)

// renderSweep returns the page with the sweep's part printed anew.
func renderSweep(page []byte, s Sweep) ([]byte, error) {
	before, rest, found := strings.Cut(string(page), sweepBegin)
	if !found {
		return nil, errors.Annotatef(ErrPage, "no %q", strings.TrimSpace(sweepBegin))
	}
	_, after, found := strings.Cut(rest, sweepEnd)
	if !found {
		return nil, errors.Annotatef(ErrPage, "no %q", strings.TrimSpace(sweepEnd))
	}
	return []byte(before + sweepBegin + s.markdown() + sweepEnd + after), nil
}

// RewriteSweep prints the sweep's part of a page anew.
func RewriteSweep(path string, s Sweep) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "step read page")
	}
	out, err := renderSweep(page, s)
	if err != nil {
		return errors.Annotatef(err, "step render %s", path)
	}
	return errors.Annotate(os.WriteFile(path, out, 0o644), "step write page")
}
