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

// byteCounter counts the bytes that are written to a log.
type byteCounter struct{ n atomic.Int64 }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// BenchmarkRequestLine measures the time that the goroutine of a request spends on its
// log line, and the size of the line. "left out" is a line that the sampler does not
// allow.
func BenchmarkRequestLine(b *testing.B) {
	var out byteCounter
	queue := logqueue.New(&out, 1<<20)
	logger := logrus.New()
	logger.SetOutput(queue)
	logger.SetFormatter(&logrus.JSONFormatter{})
	e := &exchange{
		gateway:   &Gateway{cfg: Config{Log: logger.WithField("node", "front-hobart-1")}},
		startedAt: time.Now(), firstByteAt: time.Now(), outcome: outcomeAnswered, status: 200, sends: 1,
		info:          RequestInfo{ID: "c1-000123.1", Prompt: Prompt{InputTokens: 23_800}},
		route:         &routetable.Route{Name: "conflict-review"},
		serverAddress: "10.1.0.40:8000", revision: 12,
		placement: placement.Placement{PartTime: time.Second, Forecast: time.Second, Interference: 0.25},
		stream:    &streamRelay{events: 120, longestPause: 90 * time.Millisecond},
	}
	b.Run("written", func(b *testing.B) {
		before := out.n.Load()
		for b.Loop() {
			e.log()
		}
		b.ReportMetric(float64(out.n.Load()-before)/float64(b.N), "B/line")
	})
	e.gateway.cfg.Sampler = denySampler{}
	b.Run("left out", func(b *testing.B) {
		for b.Loop() {
			e.log()
		}
	})
	queue.Close()
}
