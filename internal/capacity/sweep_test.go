package capacity

import (
	"math"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Symptom: the page shows a sweep that nobody played. Sequence: a sweep is played again and
// its file replaced, and the page isn't printed. Cause: numbers copied by hand.
func TestPageFollowsFromSweep(t *testing.T) {
	sweep, err := ReadSweep("../../docs/capacity-sweep.json")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := renderSweep(page, sweep)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(page)); diff != "" {
		t.Errorf("docs/CAPACITY.md isn't what briarturnctl capacity --sweep prints (-want +got):\n%s", diff)
	}
}

func TestPowerIsFoundAgain(t *testing.T) {
	want := Power{Factor: 2, Exponent: 1.5}
	var points []Point
	for _, x := range []float64{30, 100, 300} {
		points = append(points, Point{X: x, Y: want.At(x)})
	}
	got := fitPower(points)
	if math.Abs(got.Exponent-want.Exponent) > 1e-9 || math.Abs(got.At(TargetEntries)/want.At(TargetEntries)-1) > 1e-9 {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
