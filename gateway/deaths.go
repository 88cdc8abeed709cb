package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/upstream"
)

// A request may crash every server that begins to run it, and its caller sends it again.
// Such a crash shows as a connection that breaks before the first byte of a response, to
// a server that then refuses connections.
const (
	// deathThreshold is the number of server deaths at which a request is refused. Two
	// can be a coincidence: an outage that ends several servers also ends requests that
	// were moved from one to the next.
	deathThreshold = 3
	// probeTimeout bounds the check whether a server still accepts connections.
	probeTimeout = 300 * time.Millisecond
)

// QuarantineOptions returns the quarantine options of the gateway.
func QuarantineOptions() quarantine.Options {
	o := quarantine.DefaultOptions
	o.DeathThreshold = deathThreshold
	return o
}

// DeathReporter reports to other entries that a request was running when a server died.
// ReportDeath must not block.
type DeathReporter interface {
	ReportDeath(r quarantine.Record)
}

// computeFingerprint returns a hash that is the same for every attempt with the same
// caller, path and body.
func (e *exchange) computeFingerprint() uint64 {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(e.info.APIKey), []byte(requestTarget(e.incoming)), e.body} {
		// Write never fails on a hash. The zero byte separates the parts.
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// isQuarantined sets the request's fingerprint and reports whether the request is refused
// because of the servers that died while running it.
func (e *exchange) isQuarantined() bool {
	e.fingerprint = e.computeFingerprint()
	return e.gateway.cfg.Quarantine.Verdict(e.fingerprint, time.Now()) == quarantine.Refuse
}

// recordCompletion clears the server deaths that are recorded for a request which got its
// response, because a request that kills servers gets none. Otherwise a call that many
// callers make, with the same path and no body, would be refused after three servers had
// died of other causes.
func (e *exchange) recordCompletion() {
	if e.outcome == outcomeAnswered && e.status < http.StatusInternalServerError {
		e.gateway.cfg.Quarantine.RecordCompletion(e.fingerprint, time.Now())
	}
}

// brokenStage is the part of a response in which an attempt broke.
type brokenStage string

const (
	stageHead   brokenStage = "head"
	stageBody   brokenStage = "body"
	stageStream brokenStage = "stream"
)

// inspectServer checks what became of the server of an attempt that broke, and logs it with
// the deaths that are known of the request. It doesn't check after the end of the request,
// which breaks the attempt by itself.
func (e *exchange) inspectServer(ctx context.Context, placed placement.Placement, stage brokenStage) (found upstream.ProbeResult, checked bool) {
	if ctx.Err() != nil {
		return upstream.ProbeSilent, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	found = e.gateway.cfg.Pool.Probe(ctx, placed.Server.Address)
	e.gateway.counters.brokenAttempts[found].Inc(1)
	e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.info.ID, "server": placed.Server.Address, "instance": placed.Server.Instance,
		"broke_in": stage, "server_state": found.String(), "ran_ms": time.Since(e.placedAt).Milliseconds(),
		"deaths": e.gateway.cfg.Quarantine.DeathCount(e.fingerprint, time.Now()),
	}).Info("server of broken attempt checked")
	return found, true
}

// recordDeath records a server death for a request that got no byte of a response, if its
// server is gone.
func (e *exchange) recordDeath(ctx context.Context, placed placement.Placement) {
	found, checked := e.inspectServer(ctx, placed, stageHead)
	if !checked || found != upstream.ProbeRefused {
		return // the server is alive, or the check timed out
	}
	now := time.Now()
	death := quarantine.Death{ID: placement.ServerKey(placed.Server.Instance), Began: e.placedAt, Ended: now}
	record, isNew := e.gateway.cfg.Quarantine.RecordRunDeath(e.fingerprint, death, now)
	if !isNew {
		return
	}
	e.gateway.counters.serverDeaths.Inc(1)
	e.gateway.cfg.Log.WithField("request", e.info.ID).WithField("server", placed.Server.Address).
		WithField("deaths", record.DeathCount).Warn("server died under a request")
	e.gateway.cfg.DeathReporter.ReportDeath(record)
}
