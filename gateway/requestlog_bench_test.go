package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/logqueue"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
)

// counted counts the bytes of a log.
type counted struct{ n atomic.Int64 }

func (c *counted) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// BenchmarkRequestLine is what the line of a request costs the one who serves it,
// and its size. "left out" is a line that the sampler doesn't let pass.
func BenchmarkRequestLine(b *testing.B) {
	var out counted
	queue := logqueue.New(&out, 1<<20)
	logger := logrus.New()
	logger.SetOutput(queue)
	logger.SetFormatter(&logrus.JSONFormatter{})
	e := &exchange{
		gateway: &Gateway{cfg: Config{Log: logger.WithField("node", "front-hobart-1")}},
		begun:   time.Now(), firstOut: time.Now(), outcome: outcomeAnswered, status: 200, sends: 1,
		env:    RequestInfo{ID: "c1-000123.1", Prompt: Prompt{InputTokens: 23_800}},
		route:  &routetable.Route{Name: "conflict-review"},
		server: "10.1.0.40:8000", revision: 12,
		placed: placement.Placement{PartTime: time.Second, Forecast: time.Second, Interference: 0.25},
		stream: &relay{events: 120, longest: 90 * time.Millisecond},
	}
	b.Run("written", func(b *testing.B) {
		before := out.n.Load()
		for b.Loop() {
			e.log()
		}
		b.ReportMetric(float64(out.n.Load()-before)/float64(b.N), "B/line")
	})
	e.gateway.cfg.Sampler = never{}
	b.Run("left out", func(b *testing.B) {
		for b.Loop() {
			e.log()
		}
	})
	queue.Close()
}
