package load

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/briarturn/briarturn/request"
)

// Bounds of the histograms, in microseconds, and their precision.
const (
	histMin    = 1
	histMax    = int64(time.Hour / time.Microsecond)
	histDigits = 3
)

func newHist() *hdr.Histogram { return hdr.New(histMin, histMax, histDigits) }

// record puts a duration into h; what lies outside the bounds is clamped.
func record(h *hdr.Histogram, d time.Duration) {
	// The value is within the bounds, which is all that RecordValue checks.
	_ = h.RecordValue(min(max(d.Microseconds(), histMin), histMax))
}

// Sample is the TTFT of one request, for comparing runs of the same seed.
type Sample struct {
	Index int           `json:"index"`
	TTFT  time.Duration `json:"ttft_ns"`
}

// tally collects one row of the report.
type tally struct {
	counts Counts
	ttft   *hdr.Histogram
	gap    *hdr.Histogram
	total  *hdr.Histogram
}

func newTally() *tally {
	return &tally{ttft: newHist(), gap: newHist(), total: newHist()}
}

func (t *tally) add(o *outcome) {
	t.counts.add(o)
	if o.first {
		record(t.ttft, o.ttft)
	}
	for _, g := range o.gaps {
		record(t.gap, g)
	}
	if o.status == StatusFinished {
		record(t.total, o.total)
	}
}

// spaceTally collects one workspace. TTFT is of short prompts alone: other
// lengths would tell what was asked, not how the workspace was served.
type spaceTally struct {
	sent   int64
	tokens int64 // prompt and output, of finished requests
	ttft   *hdr.Histogram
}

// rows of the recorder behind the length classes.
const (
	rowService = int(request.ClassCount)
	rowAll     = rowService + 1
	rowCount   = rowAll + 1
)

// recorder gathers outcomes. mu guards every field below it.
type recorder struct {
	window time.Duration
	fleet  Fleet

	mu      sync.Mutex
	rows    [rowCount]*tally
	spaces  []spaceTally
	sendLag *hdr.Histogram
	ideal   *hdr.Histogram // TTFT / ideal of the longest prompts, in thousandths
	short   []Sample
	good    struct{ output, total int64 } // tokens in time within the window
	done    int64
}

func newRecorder(m *Mix, window time.Duration, fleet Fleet) *recorder {
	r := &recorder{window: window, fleet: fleet, sendLag: newHist(), ideal: newHist()}
	for i := range r.rows {
		r.rows[i] = newTally()
	}
	r.spaces = make([]spaceTally, len(m.Workspaces))
	for i := range r.spaces {
		r.spaces[i].ttft = newHist()
	}
	return r
}

func (r *recorder) add(a *arrival, o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := rowService
	if !a.service() {
		row = int(a.length())
	}
	r.rows[row].add(o)
	r.rows[rowAll].add(o)
	if o.status != StatusUnsent {
		record(r.sendLag, o.sendLag)
	}
	r.addSpace(a, o)
	r.addLength(a, o)
	if o.inTime && o.finished <= r.window {
		r.good.output += int64(o.completed)
		r.good.total += int64(o.completed + a.promptTokens)
	}
	r.done++
}

func (r *recorder) addSpace(a *arrival, o *outcome) {
	s := &r.spaces[a.workspace]
	s.sent++
	if o.status == StatusFinished {
		s.tokens += int64(a.promptTokens + o.completed)
	}
	if o.first && a.length() == request.ClassShort {
		record(s.ttft, o.ttft)
	}
}

func (r *recorder) addLength(a *arrival, o *outcome) {
	if !o.first {
		return
	}
	switch a.length() {
	case request.ClassShort:
		r.short = append(r.short, Sample{Index: a.index, TTFT: o.ttft})
	case request.ClassHuge:
		if r.fleet.usable() {
			ratio := float64(o.ttft) / float64(r.fleet.IdealTTFT(a.promptTokens))
			_ = r.ideal.RecordValue(min(max(int64(ratio*ratioScale), histMin), histMax))
		}
	}
}

// progress returns how many ended and how many of them finished.
func (r *recorder) progress() (done, finished int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done, r.rows[rowAll].counts.Finished
}
