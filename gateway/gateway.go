package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
	"github.com/briarturn/briarturn/warmup"
)

// Config sets up a Gateway.
type Config struct {
	Protocol      Protocol
	Routes        *routetable.Holder
	Directory     *upstream.Directory
	Zones         *evacuation.Zones
	Warmup        *warmup.Limiter
	Pool          *upstream.Pool
	Placer        Placer
	Budget        *RetryBudget
	Reserver      *reservation.Reserver
	Quarantine    *quarantine.Tracker
	DeathReporter DeathReporter
	Options       Options
	Log           logrus.FieldLogger
	// Sampler thins out the lines of requests that went well; nil writes all.
	Sampler Sampler
	Metrics metrics.Registry
}

// Placer chooses where an attempt runs, and hears what becomes of it.
type Placer interface {
	// Place chooses among candidates.
	Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision)
}

// Gateway is the http.Handler of an entry for routed requests. It is safe for
// concurrent use.
type Gateway struct {
	cfg     Config
	tally   tally
	running atomic.Int64
	ending  atomic.Int32 // phase of a shutdown
	bodies  atomic.Int64 // bytes of request bodies held
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	cfg.Options = cfg.Options.withDefaults()
	return &Gateway{cfg: cfg, tally: newTally(cfg.Metrics)}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{gateway: g, writer: w, incoming: r, begun: time.Now()}
	e.serve()
}

// pickTarget draws the service of a request by the weights of its route.
func pickTarget(route *routetable.Route) string {
	total := 0
	for _, t := range route.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, t := range route.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return ""
}

// deadline returns a context that ends when the caller's patience or the route's
// timeout does, whichever is first.
func deadline(ctx context.Context, begun time.Time, env RequestInfo, route *routetable.Route) (context.Context, context.CancelFunc, time.Time) {
	limit := route.Timeout
	if env.Timeout > 0 && (limit <= 0 || env.Timeout < limit) {
		limit = env.Timeout
	}
	if limit <= 0 {
		limit = DefaultTimeout
	}
	end := begun.Add(limit)
	ctx, cancel := context.WithDeadline(ctx, end)
	return ctx, cancel, end
}
