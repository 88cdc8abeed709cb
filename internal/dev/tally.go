package dev

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// writeTallies prints the sums of the nodes' counters that are not zero, and
// the p50 and p99 of their timers as each entry has them.
func (f *Fleet) writeTallies(w io.Writer) {
	writeCounters(w, "entries", f.Metrics)
	var agents []metrics.Registry
	for _, b := range f.Backends {
		agents = append(agents, b.Metrics)
	}
	writeCounters(w, "agents", agents)
	for i, r := range f.Metrics {
		r.Each(func(name string, m any) {
			if t, ok := m.(metrics.Timer); ok && t.Count() > 0 {
				q := t.Percentiles([]float64{0.5, 0.99})
				fmt.Fprintf(w, "%s %s: n %d, p50 %.1f ms, p99 %.1f ms\n",
					f.Entries[i].Status().Name, name, t.Count(), q[0]/1e6, q[1]/1e6)
			}
		})
	}
}

func writeCounters(w io.Writer, of string, registries []metrics.Registry) {
	sums := map[string]int64{}
	for _, r := range registries {
		r.Each(func(name string, m any) {
			if c, ok := m.(metrics.Counter); ok && c.Count() != 0 {
				sums[name] += c.Count()
			}
		})
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		fmt.Fprintf(w, "%s %s: %d\n", of, name, sums[name])
	}
}
