package dev

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/gatewaynode"
	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/internal/quiet"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/platform"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/upstream"
)

// pageRow is one metric of docs/METRICS.md.
type pageRow struct {
	name    string
	kind    string
	pattern *regexp.Regexp // of the name, with its placeholders
	found   bool
}

var (
	rowForm     = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (\\w+) \\|")
	placeholder = regexp.MustCompile(`[A-Z]+$|[A-Z]+\b`)
)

func (r *pageRow) exact() bool { return !placeholder.MatchString(r.name) }

func readPage(t *testing.T) []*pageRow {
	t.Helper()
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []*pageRow
	for _, m := range rowForm.FindAllStringSubmatch(string(page), -1) {
		pattern := placeholder.ReplaceAllString(strings.ReplaceAll(m[1], ".", `\.`), `.+`)
		rows = append(rows, &pageRow{name: m[1], kind: m[2], pattern: regexp.MustCompile("^" + pattern + "$")})
	}
	if len(rows) == 0 {
		t.Fatal("no rows on the page")
	}
	return rows
}

func kindOf(v any) string {
	switch v.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Gauge:
		return "gauge"
	case metrics.Histogram:
		return "histogram"
	case metrics.Timer:
		return "timer"
	}
	return "unknown"
}

// The page lists every metric that a fleet registers, of the right kind, and no
// other.
func TestPageListsEveryMetric(t *testing.T) {
	f := startSmall(t, nil)
	_, err := load.Run(t.Context(), load.Options{
		Targets: f.Targets(), Mix: testMix(t), Rate: 20, For: time.Second, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	client := metrics.NewRegistry() // the fleet has its store in the process
	if _, err := platform.NewStoreClient(platform.StoreConfig{BaseURL: "http://127.0.0.1:1", Metrics: client}); err != nil {
		t.Fatal(err)
	}
	rows := readPage(t)
	registries := append([]metrics.Registry{client, gatewayRegistry(t)}, f.Metrics...)
	for _, b := range f.Backends {
		registries = append(registries, b.Metrics)
	}
	for _, r := range registries {
		r.Each(func(name string, v any) { findRow(t, rows, name, kindOf(v)) })
	}
	for _, row := range rows {
		if row.exact() && !row.found {
			t.Errorf("no process registers %s", row.name)
		}
	}
}

func findRow(t *testing.T, rows []*pageRow, name, kind string) {
	t.Helper()
	for _, row := range rows {
		if row.pattern.MatchString(name) {
			row.found = true
			if row.kind != kind {
				t.Errorf("%s is a %s, the page says %s", name, kind, row.kind)
			}
			return
		}
	}
	t.Errorf("the page lacks %s, a %s", name, kind)
}

// gatewayRegistry is the registry of a gateway that has started.
func gatewayRegistry(t *testing.T) metrics.Registry {
	t.Helper()
	r := metrics.NewRegistry()
	const free = "127.0.0.1:0"
	n, err := gatewaynode.Start(gatewaynode.Config{
		Name: "gateway", Listen: free, ReadyListen: free, Datagram: free, RPC: free, AdminListen: free,
		Grace: time.Second, RetryWindow: time.Second,
		Store: standin.NewMemory(standin.Config{}), Protocol: platform.Protocol{},
		Engines: func(p *upstream.Pool) reservation.EngineClient { return platform.NewEngineClient(p) },
		Decoder: gatewaynode.Decoder{ConfigKind: platform.KindConfig, ServersKind: platform.KindServers},
		Log:     quiet.Logger(), Metrics: r,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return r
}
