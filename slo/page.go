package slo

import (
	"bytes"
	"cmp"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the plot and the maximum number of levels in it. Those with the highest burn rates
// are shown.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 4 * vg.Inch
	plotLevels = 12
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}
td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:left}
.warning{background:#fe9}.page{background:#f99}</style></head><body>
<h1>Service-level burn</h1>
<p>{{.Report.At.UTC.Format "2006-01-02 15:04:05"}} UTC, from {{len .Report.Sources}} entries</p>
{{.Plot}}
<table><tr><th>Level</th><th>Scope</th><th>Objective</th><th>Target</th><th>State</th><th>Burn by window (bad/all)</th><th>p50</th><th>p99</th></tr>
{{range .Rows}}<tr class="{{.State}}"><td>{{.Name}}</td><td>{{.Scope}}</td><td>{{.Objective}}</td><td>{{.Target}}</td><td>{{.State}}</td><td>{{.Windows}}</td><td>{{.P50}}</td><td>{{.P99}}</td></tr>
{{end}}</table></body></html>
`))

type pageRow struct {
	Name, Scope, Objective string
	Target                 float64
	State                  State
	Windows                string
	P50, P99               time.Duration
}

type pageData struct {
	Report *Report
	Plot   template.HTML
	Rows   []pageRow
}

// WriteHTML writes the report as one self-contained page.
func (r *Report) WriteHTML(w io.Writer) error {
	var svg bytes.Buffer
	if err := r.WriteSVG(&svg); err != nil {
		return errors.Trace(err)
	}
	// An XML declaration is not allowed inside HTML. The plot library has escaped the text in
	// the plot.
	start := max(bytes.Index(svg.Bytes(), []byte("<svg")), 0)
	data := pageData{Report: r, Plot: template.HTML(svg.Bytes()[start:])}
	for i := range r.Levels {
		l := &r.Levels[i]
		data.Rows = append(data.Rows, pageRow{
			Name: l.Name, Scope: l.scope(), Objective: l.Objective, Target: l.Target, State: l.State,
			Windows: l.windowText(), P50: l.P50.Round(time.Millisecond), P99: l.P99.Round(time.Millisecond),
		})
	}
	return errors.Annotate(page.Execute(w, data), "step write page")
}

// WriteSVG plots the burn rate of each level over its longest window.
func (r *Report) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "Burn rate by service level"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Time: plot.UTCUnixTime}
	p.X.Label.Text = "time, UTC"
	p.Y.Label.Text = "burn rate (1 = budget lasts exactly its period)"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, l := range r.highestBurn() {
		line, err := plotter.NewLine(l.points())
		if err != nil {
			return errors.Annotatef(err, "step plot level %q", l.Name)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	p.Legend.Top = true
	canvas := vgsvg.NewWith(vgsvg.UseWH(plotWidth, plotHeight))
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)
	return errors.Annotate(err, "step write plot")
}

func (r *Report) highestBurn() []LevelReport {
	levels := slices.Clone(r.Levels)
	slices.SortStableFunc(levels, func(a, b LevelReport) int { return cmp.Compare(b.peakBurn(), a.peakBurn()) })
	return levels[:min(len(levels), plotLevels)]
}

func (l *LevelReport) peakBurn() float64 {
	var peak float64
	for _, p := range l.History {
		peak = max(peak, p.Burn)
	}
	return peak
}

func (l *LevelReport) points() plotter.XYs {
	xys := make(plotter.XYs, len(l.History))
	for i, p := range l.History {
		xys[i] = plotter.XY{X: float64(p.At.Unix()), Y: p.Burn}
	}
	return xys
}
