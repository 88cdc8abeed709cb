package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

// flat gives every line the same slope and no intercept.
func flat(slope float64) Slopes {
	s := Slopes{Lines: map[string]Line{}}
	for _, name := range lineNames {
		l := Line{Name: name}
		for x := 1.0; x <= minSizes; x++ {
			l.Points = append(l.Points, Point{X: x, Y: slope * x})
		}
		if err := l.fit(); err != nil {
			panic(err)
		}
		s.Lines[name] = l
	}
	return s
}

func figure(t *testing.T, p Page, title, name string) Figure {
	t.Helper()
	for _, table := range p.Tables {
		for _, f := range table.Figures {
			if table.Title == title && f.Name == name {
				return f
			}
		}
	}
	t.Fatalf("no figure %q in %q", name, title)
	return Figure{}
}

// Symptom: the page shows figures that nobody measured.
// Sequence: slopes are measured anew, or a formula changes, and the page isn't
// printed again.
// Cause: numbers copied by hand.
func TestPageFollowsFromSlopes(t *testing.T) {
	slopes, err := ReadSlopes("../../docs/capacity-slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := render(page, slopes)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(page)); diff != "" {
		t.Errorf("docs/CAPACITY.md isn't what briarturnctl capacity --page prints (-want +got):\n%s", diff)
	}
}

func TestComputeByHand(t *testing.T) {
	p := Compute(fleets["letter"], flat(1))
	for _, c := range []struct {
		title, name string
		want        float64
	}{
		// 2,400 agents of a region, two homes each, 86 entries
		{"Entry: control messages", "agents that report here", 2400 * 2 / 86.0},
		// a line of slope 1 gives 55.8 s, which is cut
		{"Entry: control messages", "report period", maxPeriod},
		{"Entry: memory of control", "backend servers", 2400},
		{"Entry: memory of control", "declared objects", 540 + 540*2 + 14 + 14 + 1},
		{"Entry: memory of control", "latencies and burn", 540 * 2 * 2},
		{"Platform's object API: reads", "waiting watches", 430 * (4 + 2) / 3.5},
		{"Platform's object API: writes", "leases", 14 * 3 / 10.0},
		{"Failures and restarts", "zone back: store reads", 430 / 16.0},
		// lines of slope 1 give 86 bytes a list; 83 entries past the third
		{"Failures and restarts", "entry list pulled, one entry's change", 2400 / 86.0 * 86 / (7 * 83)},
		{"A change of configuration in force everywhere", "worst sum, nothing lost", 0.5 + 1 + 0.1 + 0.1},
		{"A change of configuration in force everywhere", "worst sum, watches of all homes dead without a sign", 1.7 + 3 + 2 + 0.15},
		{"A change of configuration in force everywhere", "worst sum, announcements past their budget", 0.5 + 33 + 0.1},
		// 15,000 changes a day, 29 of 1,649 objects are of pools, a fifteenth of
		// them concerns each of the 27.9 agents
		{"Entry: control messages", "bytes of announcements and pulls", 15000 / 86400.0 * 29 / 1649 / 15 * 2400 / 86 * (1 + 2*2)},
	} {
		if diff := cmp.Diff(plain(c.want), plain(figure(t, p, c.title, c.name).Value)); diff != "" {
			t.Errorf("%s, %s (-want +got):\n%s", c.title, c.name, diff)
		}
	}
}

// Symptom: a design that can't carry the fleet passes for one that can.
// Sequence: a slope grows, and the page still says ok.
// Cause: a limit that isn't compared.
func TestOverIsSaid(t *testing.T) {
	const title, name = "Entry: memory of control", "control state, live"
	small, large := Compute(fleets["letter"], flat(1)), Compute(fleets["letter"], flat(1e6))
	if f := figure(t, small, title, name); f.Verdict != VerdictOK {
		t.Errorf("%v of %v is said to be %q", f.Value, f.Limit, f.Verdict)
	}
	if f := figure(t, large, title, name); f.Verdict != VerdictOver {
		t.Errorf("%v of %v is said to be %q", f.Value, f.Limit, f.Verdict)
	}
	var b strings.Builder
	if err := large.WriteMarkdown(&b); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(b.String(), "- "+title+": "+name+", ") {
		t.Error("the printed page doesn't list the figure as over")
	}
	for value, want := range map[float64]string{89: VerdictOK, 95: VerdictTop, 100: VerdictTop, 101: VerdictOver} {
		if got := (Figure{Value: value, Limit: 100}).judge().Verdict; got != want {
			t.Errorf("%v of 100 is said to be %q, want %q", value, got, want)
		}
	}
}

// Symptom: the page rests on a slope that no measurement gave.
// Sequence: somebody edits a slope in the file, or a line is left out.
// Cause: slopes that are taken as they stand.
func TestEditedSlopesAreRefused(t *testing.T) {
	s := flat(2)
	if err := s.check(); err != nil {
		t.Fatal(err)
	}
	l := s.Lines[lineRowMemory]
	l.Slope = 1
	s.Lines[lineRowMemory] = l
	if err := s.check(); !errors.Is(err, ErrSlopes) {
		t.Errorf("an edited slope: %v", err)
	}
	delete(s.Lines, lineRowMemory)
	if err := s.check(); !errors.Is(err, ErrSlopes) {
		t.Errorf("a missing line: %v", err)
	}
}

func TestFit(t *testing.T) {
	l := Line{Points: []Point{{1, 3}, {2, 5}, {3, 7}, {4, 10}}}
	if err := l.fit(); err != nil {
		t.Fatal(err)
	}
	want := []string{"2.3", "0.5", "0.04"} // least squares by hand
	if diff := cmp.Diff(want, []string{plain(l.Slope), plain(l.Intercept), plain(l.Residual)}); diff != "" {
		t.Errorf("slope, intercept, residual (-want +got):\n%s", diff)
	}
	short := Line{Points: l.Points[:2]}
	if err := short.fit(); !errors.Is(err, ErrSlopes) {
		t.Errorf("a line through two sizes: %v", err)
	}
}
