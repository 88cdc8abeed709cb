package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
)

// A request may crash every server that begins to run it, and its caller sends it
// again. It shows as connections that break before the first byte of an answer, to
// servers that then refuse connections.
const (
	// suspectDeaths refuses a request. Two can be chance: an outage that ends
	// several servers also ends what was moved from one to the next.
	suspectDeaths = 3
	// aliveTimeout bounds the question whether a server still accepts connections.
	aliveTimeout = 300 * time.Millisecond
)

// QuarantineOptions are those of the gateway's book.
func QuarantineOptions() quarantine.Options {
	o := quarantine.DefaultOptions
	o.DeathThreshold = suspectDeaths
	return o
}

// DeathReporter passes on to other entries that a request was running when a server died.
// It must not block.
type DeathReporter interface {
	ReportDeath(r quarantine.Record)
}

// fingerprint is the same for every attempt with the same caller, path and body.
func (e *exchange) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(e.env.APIKey), []byte(target(e.incoming)), e.body} {
		// A hash never fails to take bytes; the zero parts them.
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// poisoned reports whether the request must not run any more.
func (e *exchange) poisoned() bool {
	e.mark = e.fingerprint()
	return e.gateway.cfg.Quarantine.Verdict(e.mark, time.Now()) == quarantine.Refuse
}

// survived clears a request that got its answer of the deaths that it was beside: one that kills
// gets none. Without it a call that many make, with the same path and no body, would be refused
// after three servers had died of anything else.
func (e *exchange) survived() {
	if e.outcome == outcomeAnswered && e.status < http.StatusInternalServerError {
		e.gateway.cfg.Quarantine.RecordCompletion(e.mark, time.Now())
	}
}

// suspect notes a request that got no byte of an answer if its server is gone.
func (e *exchange) suspect(ctx context.Context, place placement.Placement) {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	if e.gateway.cfg.Pool.Probe(ctx, place.Server.Address) || ctx.Err() != nil {
		return // it lives, or nobody can tell in time
	}
	death := placement.ServerKey(place.Server.Instance)
	record, news := e.gateway.cfg.Quarantine.RecordDeath(e.mark, death, time.Now())
	if !news {
		return
	}
	e.gateway.tally.deaths.Inc(1)
	e.gateway.cfg.Log.WithField("request", e.env.ID).WithField("server", place.Server.Address).
		WithField("deaths", record.DeathCount).Warn("server died under a request")
	e.gateway.cfg.DeathReporter.ReportDeath(record)
}
