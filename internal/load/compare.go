package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
)

// ErrIncomparable means that two reports aren't of the same arrivals, or share no
// request that got a first token in both.
const ErrIncomparable = errors.ConstError("reports are not comparable")

// Slowdown is TTFT of short requests beside long work / TTFT alone.
type Slowdown struct {
	Matched int `json:"matched"` // requests with a first token in both runs
	Missing int `json:"missing"` // with one in the alone run only
	// Quantile ratios: quantile of the mixed run / same quantile alone.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	// Quantiles of the ratio of each request to itself alone.
	PairedP50 float64 `json:"paired_p50"`
	PairedP99 float64 `json:"paired_p99"`
}

// Compare matches the short requests of two runs of the same seed, rate and
// mix by index. Requests without a first token in the mixed run are counted in
// Missing: a policy that drops the slow ones must not look fast.
func Compare(alone, mixed *Report) (Slowdown, error) {
	if alone.Seed != mixed.Seed || alone.Rate != mixed.Rate || alone.Mix != mixed.Mix {
		return Slowdown{}, errors.Annotate(ErrIncomparable, "seed, rate or mix differ")
	}
	base := make(map[int]time.Duration, len(alone.Short))
	for _, s := range alone.Short {
		base[s.Index] = s.TTFT
	}
	var a, m, ratios []float64
	for _, s := range mixed.Short {
		before, ok := base[s.Index]
		if !ok || before <= 0 {
			continue
		}
		a = append(a, float64(before))
		m = append(m, float64(s.TTFT))
		ratios = append(ratios, float64(s.TTFT)/float64(before))
	}
	if len(a) == 0 {
		return Slowdown{}, errors.Annotate(ErrIncomparable, "no short request in both")
	}
	for _, v := range [][]float64{a, m, ratios} {
		slices.Sort(v)
	}
	return Slowdown{
		Matched:   len(a),
		Missing:   len(alone.Short) - len(a),
		P50:       quantile(m, 0.50) / quantile(a, 0.50),
		P99:       quantile(m, 0.99) / quantile(a, 0.99),
		PairedP50: quantile(ratios, 0.50),
		PairedP99: quantile(ratios, 0.99),
	}, nil
}

// quantile returns the nearest-rank quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	i := int(q*float64(len(sorted)) + 0.5)
	return sorted[min(max(i-1, 0), len(sorted)-1)]
}

// WriteText prints the slowdown in two lines.
func (s Slowdown) WriteText(w io.Writer) {
	fmt.Fprintf(w, "slowdown of short requests: p50 %.2f, p99 %.2f (%d matched, %d missing)\n", s.P50, s.P99, s.Matched, s.Missing)
	fmt.Fprintf(w, "each against itself alone:  p50 %.2f, p99 %.2f\n", s.PairedP50, s.PairedP99)
}
