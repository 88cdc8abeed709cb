package admin

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// namespace begins every metric's name, so that those of several products can be
// kept in one place.
const namespace = "briarturn."

// quantiles of histograms and timers that are served: the median, the tail that
// objectives are set for, and beyond it.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// exposition is the text format of version 0.0.4, which every scraper reads.
var exposition = expfmt.NewFormat(expfmt.TypeTextPlain)

// serveExposition answers with all metrics of a registry in the text format.
func serveExposition(r metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(exposition))
		if err := writeExposition(w, r); err != nil {
			// The status is sent; only a connection that ends tells the scraper
			// that the rest is missing.
			panic(http.ErrAbortHandler)
		}
	}
}

// writeExposition writes the metrics of a registry, sorted by name.
func writeExposition(w io.Writer, r metrics.Registry) error {
	encoder := expfmt.NewEncoder(w, exposition)
	for _, family := range families(r) {
		if err := encoder.Encode(family); err != nil {
			return errors.Annotatef(err, "step write metric %s", family.GetName())
		}
	}
	return nil
}

// families translates a registry. Of two metrics whose names differ only in
// characters that the format lacks, the first is kept: a scraper rejects the whole
// text if a name comes twice.
func families(r metrics.Registry) []*dto.MetricFamily {
	byName := map[string]*dto.MetricFamily{}
	var names []string
	r.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	var out []*dto.MetricFamily
	for _, name := range names {
		family := familyOf(name, r.Get(name))
		if family == nil || byName[family.GetName()] != nil {
			continue
		}
		byName[family.GetName()] = family
		out = append(out, family)
	}
	return out
}

// familyOf translates one metric; nil for a kind that has no counterpart.
func familyOf(name string, metric any) *dto.MetricFamily {
	switch m := metric.(type) {
	case metrics.Counter:
		return family(name, "_total", dto.MetricType_COUNTER, &dto.Metric{
			Counter: &dto.Counter{Value: proto.Float64(float64(m.Count()))},
		})
	case metrics.Gauge:
		return family(name, "", dto.MetricType_GAUGE, gauge(float64(m.Value())))
	case metrics.GaugeFloat64:
		return family(name, "", dto.MetricType_GAUGE, gauge(m.Value()))
	case metrics.Histogram:
		s := m.Snapshot()
		return family(name, "", dto.MetricType_SUMMARY, summary(s.Count(), float64(s.Sum()), s.Percentiles(quantiles), 1))
	case metrics.Timer:
		s := m.Snapshot() // in nanoseconds
		return family(name, "_seconds", dto.MetricType_SUMMARY, summary(s.Count(), float64(s.Sum()), s.Percentiles(quantiles), 1/float64(time.Second)))
	}
	return nil
}

func family(name, suffix string, kind dto.MetricType, metric *dto.Metric) *dto.MetricFamily {
	full := model.EscapeName(namespace+name, model.UnderscoreEscaping)
	return &dto.MetricFamily{
		Name:   proto.String(strings.TrimSuffix(full, suffix) + suffix),
		Help:   proto.String(name + " in docs/METRICS.md"),
		Type:   kind.Enum(),
		Metric: []*dto.Metric{metric},
	}
}

func gauge(value float64) *dto.Metric {
	return &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(value)}}
}

// summary translates a histogram whose values times unit are in the unit that the
// name says.
func summary(count int64, sum float64, values []float64, unit float64) *dto.Metric {
	s := &dto.Summary{SampleCount: proto.Uint64(uint64(count)), SampleSum: proto.Float64(sum * unit)}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: proto.Float64(q), Value: proto.Float64(values[i] * unit)})
	}
	return &dto.Metric{Summary: s}
}
