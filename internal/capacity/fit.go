package capacity

import (
	"encoding/json"
	"math"
	"os"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// Errors of this package.
const (
	// ErrSlopes: a file of slopes can't be read, or lacks one.
	ErrSlopes = errors.ConstError("invalid slopes")
	// ErrPage: the page lacks the markers of the printed tables.
	ErrPage = errors.ConstError("page without capacity markers")
	// ErrFleet: no fleet has that name.
	ErrFleet = errors.ConstError("unknown fleet")
)

// minSizes is the least number of sizes that a line is fitted to.
const minSizes = 3

// Point is one measurement: Y at size X, in the units of its Line.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is what was measured of one thing, and the line fitted to it.
type Line struct {
	Name      string  `json:"name"`
	X         string  `json:"x"` // unit of the size
	Y         string  `json:"y"` // unit of what was measured
	Source    string  `json:"source"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the largest distance of a point from the line, as a part of
	// the largest Y.
	Residual float64 `json:"residual"`
}

// At returns the line's value at size x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// fit sets slope, intercept and residual from the points.
func (l *Line) fit() error {
	if len(l.Points) < minSizes {
		return errors.Annotatef(ErrSlopes, "step fit %s: %d sizes", l.Name, len(l.Points))
	}
	xs := make([]float64, 0, len(l.Points))
	ys := make([]float64, 0, len(l.Points))
	for _, p := range l.Points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	worst, largest := 0.0, 0.0
	for _, p := range l.Points {
		worst = math.Max(worst, math.Abs(p.Y-l.At(p.X)))
		largest = math.Max(largest, math.Abs(p.Y))
	}
	l.Residual = 0
	if largest > 0 {
		l.Residual = worst / largest
	}
	if math.IsNaN(l.Slope) || math.IsInf(l.Slope, 0) {
		return errors.Annotatef(ErrSlopes, "step fit %s: no slope", l.Name)
	}
	return nil
}

// Slopes are all lines of one run of Measure, by name.
type Slopes struct {
	Go    string          `json:"go"` // version of the toolchain
	Notes []string        `json:"notes"`
	Lines map[string]Line `json:"lines"`
}

// ReadSlopes reads what Measure gave, as JSON. Errors match ErrSlopes.
func ReadSlopes(path string) (Slopes, error) {
	var s Slopes
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	if err != nil {
		return s, errors.WithType(errors.Annotatef(err, "step read slopes %s", path), ErrSlopes)
	}
	return s, errors.Annotatef(s.check(), "step read slopes %s", path)
}

// check fits every line anew, so that a slope written by hand is refused.
func (s Slopes) check() error {
	for _, name := range lineNames {
		l, ok := s.Lines[name]
		if !ok {
			return errors.Annotatef(ErrSlopes, "no line %s", name)
		}
		again := l
		if err := again.fit(); err != nil {
			return errors.Trace(err)
		}
		if !near(again.Slope, l.Slope) || !near(again.Intercept, l.Intercept) || !near(again.Residual, l.Residual) {
			return errors.Annotatef(ErrSlopes, "line %s doesn't follow from its points", name)
		}
	}
	return nil
}

// near allows for the last digits of another machine's floating point.
func near(a, b float64) bool {
	return math.Abs(a-b) <= 1e-6*math.Max(1, math.Max(math.Abs(a), math.Abs(b)))
}
