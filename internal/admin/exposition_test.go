package admin

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"
)

// Checks the name, type and unit of each metric type in the text format.
func TestExpositionOfEachMetricType(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("gateway.attempts", r).Inc(3)
	metrics.GetOrRegisterGauge("declared.revision", r).Update(7)
	metrics.GetOrRegisterGaugeFloat64("share", r).Update(0.5)
	metrics.GetOrRegisterTimer("entry.total", r).Update(250 * time.Millisecond)
	metrics.GetOrRegisterHistogram("gateway.first_byte_ms", r, metrics.NewUniformSample(10)).Update(40)
	var out bytes.Buffer
	if err := writeExposition(&out, r); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"# TYPE briarturn_gateway_attempts_total counter",
		"briarturn_gateway_attempts_total 3",
		"briarturn_declared_revision 7",
		"briarturn_share 0.5",
		`briarturn_entry_total_seconds{quantile="0.99"} 0.25`,
		"briarturn_entry_total_seconds_sum 0.25",
		"briarturn_entry_total_seconds_count 1",
		`briarturn_gateway_first_byte_ms{quantile="0.5"} 40`,
	} {
		if !strings.Contains(out.String(), line+"\n") {
			t.Errorf("no line %q in:\n%s", line, out.String())
		}
	}
}

// Guards against a scraper that rejects the whole response because of a duplicate or
// invalid name. This occurs when a counter is named after text from a caller, and another
// counter's name differs only in a character that the format does not allow.
func TestExpositionIsValidForAnyMetricNames(t *testing.T) {
	r := metrics.NewRegistry()
	for _, name := range []string{"refused.a-b", "refused.a.b", "refused.a_b", "refused.é\n{}\"", "9"} {
		metrics.GetOrRegisterCounter(name, r).Inc(1)
	}
	var out bytes.Buffer
	if err := writeExposition(&out, r); err != nil {
		t.Fatal(err)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(&out)
	if err != nil {
		t.Fatal(err)
	}
	if len(families) != 3 || families["briarturn_refused_a_b_total"] == nil {
		t.Errorf("families %v", families)
	}
}
