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

// namespace is the prefix of every metric name. It keeps the metrics of this project
// apart from those of other products in the same store.
const namespace = "briarturn."

// quantiles lists the quantiles that are exported for histograms and timers: the
// median, the tail for which objectives are set, and the quantile beyond it.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// textFormat is version 0.0.4 of the Prometheus text format, which every scraper accepts.
var textFormat = expfmt.NewFormat(expfmt.TypeTextPlain)

// metricsHandler serves all metrics of a registry in the text format.
func metricsHandler(r metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(textFormat))
		if err := writeExposition(w, r); err != nil {
			// The status has already been sent, so only a closed connection shows
			// the scraper that the response is incomplete.
			panic(http.ErrAbortHandler)
		}
	}
}

// writeExposition writes all metrics of a registry to w, sorted by name.
func writeExposition(w io.Writer, r metrics.Registry) error {
	encoder := expfmt.NewEncoder(w, textFormat)
	for _, family := range metricFamilies(r) {
		if err := encoder.Encode(family); err != nil {
			return errors.Annotatef(err, "step write metric %s", family.GetName())
		}
	}
	return nil
}

// metricFamilies converts the metrics of a registry, sorted by name. If two names
// differ only in characters that the format does not allow, only the first metric is
// kept, because a scraper rejects a response that contains a duplicate name.
func metricFamilies(r metrics.Registry) []*dto.MetricFamily {
	byName := map[string]*dto.MetricFamily{}
	var names []string
	r.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	var out []*dto.MetricFamily
	for _, name := range names {
		family := convertMetric(name, r.Get(name))
		if family == nil || byName[family.GetName()] != nil {
			continue
		}
		byName[family.GetName()] = family
		out = append(out, family)
	}
	return out
}

// convertMetric converts one metric. It returns nil for a type that has no
// counterpart in the text format.
func convertMetric(name string, metric any) *dto.MetricFamily {
	switch m := metric.(type) {
	case metrics.Counter:
		return newFamily(name, "_total", dto.MetricType_COUNTER, &dto.Metric{
			Counter: &dto.Counter{Value: proto.Float64(float64(m.Count()))},
		})
	case metrics.Gauge:
		return newFamily(name, "", dto.MetricType_GAUGE, newGauge(float64(m.Value())))
	case metrics.GaugeFloat64:
		return newFamily(name, "", dto.MetricType_GAUGE, newGauge(m.Value()))
	case metrics.Histogram:
		s := m.Snapshot()
		return newFamily(name, "", dto.MetricType_SUMMARY, newSummary(s.Count(), float64(s.Sum()), s.Percentiles(quantiles), 1))
	case metrics.Timer:
		s := m.Snapshot() // in nanoseconds
		return newFamily(name, "_seconds", dto.MetricType_SUMMARY, newSummary(s.Count(), float64(s.Sum()), s.Percentiles(quantiles), 1/float64(time.Second)))
	}
	return nil
}

// newFamily returns a family of one metric. Its name is the escaped name with the
// namespace as prefix and the suffix appended unless it is already there.
func newFamily(name, suffix string, kind dto.MetricType, metric *dto.Metric) *dto.MetricFamily {
	full := model.EscapeName(namespace+name, model.UnderscoreEscaping)
	return &dto.MetricFamily{
		Name:   proto.String(strings.TrimSuffix(full, suffix) + suffix),
		Help:   proto.String(name + " in docs/METRICS.md"),
		Type:   kind.Enum(),
		Metric: []*dto.Metric{metric},
	}
}

func newGauge(value float64) *dto.Metric {
	return &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(value)}}
}

// newSummary converts the figures of a histogram or timer. scale converts the values to
// the unit in the metric's name.
func newSummary(count int64, sum float64, values []float64, scale float64) *dto.Metric {
	s := &dto.Summary{SampleCount: proto.Uint64(uint64(count)), SampleSum: proto.Float64(sum * scale)}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: proto.Float64(q), Value: proto.Float64(values[i] * scale)})
	}
	return &dto.Metric{Summary: s}
}
