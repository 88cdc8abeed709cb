package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/briarturn/briarturn/allowance"
	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/reservation"
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/upstream"
)

// Config holds the dependencies and the options of a Gateway.
type Config struct {
	Protocol      Protocol
	Routes        *routetable.Holder
	Directory     *upstream.Directory
	Zones         *evacuation.Zones
	ColdSends     *allowance.Limiter
	Limits        *serverlimit.Table // rates that servers name
	LimitedSends  *allowance.Limiter // of the servers that name a rate
	LimitReporter LimitReporter
	Notices       *servernotice.Table // what servers announced in their responses
	DrainReporter DrainReporter
	Lost          *lostservers.Table // evidence of servers that don't serve
	LossReporter  LossReporter
	Pool          *upstream.Pool
	Placer        Placer
	Budget        *retrybudget.Budget
	Reserver      *reservation.Reserver
	Quarantine    *quarantine.Tracker
	Parts         *quarantine.PartTracker
	DeathReporter DeathReporter
	Options       Options
	Log           logrus.FieldLogger
	// Sampler limits the log lines of successful requests; if nil, all are written.
	Sampler Sampler
	// Room is the queue of requests that wait for room; if nil, they don't wait in one.
	Room    *RoomQueue
	Metrics metrics.Registry
}

// Placer chooses the servers of an attempt. The Placement that it returns reports the
// progress of the attempt back to it.
type Placer interface {
	// Place chooses servers among candidates.
	Place(q placement.Query, candidates []placement.Candidate) (placement.Placement, placement.Decision)
}

// Gateway is the http.Handler of an entry for routed requests. It is safe for concurrent
// use.
type Gateway struct {
	cfg               Config
	counters          counters
	activeRequests    atomic.Int64
	shutdown          *shutdown
	bufferedBodyBytes atomic.Int64 // bytes of request bodies held in memory
	heldResponses     heldBytes
	possibleDeaths    possibleDeathList
	lostClock         boottime.Clock // of the evidence in cfg.Lost
	moves             *rate.Limiter  // of attempts that show nothing
}

// New returns a Gateway. Options that are not set take their defaults.
func New(cfg Config) *Gateway {
	cfg.Options = cfg.Options.withDefaults()
	return &Gateway{
		cfg: cfg, counters: newCounters(cfg.Metrics), heldResponses: heldBytes{max: cfg.Options.BodiesBytes}, lostClock: boottime.Now,
		moves: rate.NewLimiter(movesPerSecond, moveBurst), shutdown: newShutdown(),
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	if g.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{gateway: g, writer: w, incoming: r, startedAt: time.Now(), held: holding{total: &g.heldResponses}}
	defer e.held.resize(0)
	e.serve()
}

// pickService draws the service of a request at random by the weights of its route. It
// returns "" if no target has a weight.
func pickService(route *routetable.Route) string {
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

// timeLimit returns how long a request may take: its caller's or its route's timeout, whichever is
// shorter.
func timeLimit(info RequestInfo, route *routetable.Route) time.Duration {
	limit := route.Timeout
	if info.Timeout > 0 && (limit <= 0 || info.Timeout < limit) {
		limit = info.Timeout
	}
	if limit <= 0 {
		limit = DefaultTimeout
	}
	return limit
}
