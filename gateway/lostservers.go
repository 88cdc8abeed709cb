package gateway

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/eligible"
	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/upstream"
)

// lifeInterval is the minimum time between two signs of life of a server that are recorded of one
// attempt.
const lifeInterval = 100 * time.Millisecond

// LossReporter reports to other entries that a server was seen not to serve. ReportLoss must not block.
type LossReporter interface {
	ReportLoss(e lostservers.Evidence)
}

// sharesLosses reports whether evidence of lost servers of the request's service is used and shared.
func (e *exchange) sharesLosses() bool {
	f := e.gateway.cfg.Options.Features
	return f.Enabled(f.LostServers, e.service)
}

// withoutLost leaves out the servers that count as lost. Some server is always left.
func (e *exchange) withoutLost(servers []upstream.Server) []upstream.Server {
	if len(servers) == 0 || !e.sharesLosses() || !e.gateway.cfg.Lost.HasEvidence() {
		return servers
	}
	starts := make([]servernotice.Server, len(servers))
	for i, s := range servers {
		starts[i] = servernotice.ServerOf(s.Instance, s.StartedUnixMs)
	}
	excluded := e.gateway.cfg.Lost.Exclude(starts, e.connectFailures > 0, e.gateway.lostClock())
	if len(excluded) == 0 {
		return servers
	}
	e.gateway.counters.losses.placedWithoutLost.Inc(1)
	left, _ := eligible.Filter(servers, eligible.NotLost{Excluded: excluded})
	return left
}

// startTrial notes that the request is about to be sent to a server that may be lost.
func (e *exchange) startTrial(placed placement.Placement) {
	if e.sharesLosses() {
		e.gateway.cfg.Lost.StartTrial(noticeServer(placed.Server), e.gateway.lostClock())
	}
}

// observeDialFailure records what a failed attempt to connect shows of a server. A failure because
// the request has ended shows nothing.
func (e *exchange) observeDialFailure(ctx context.Context, server placement.Candidate, err error) {
	if ctx.Err() != nil {
		return
	}
	switch upstream.DialFailureOf(err) {
	case upstream.DialRefused:
		e.observeLoss(server, lostservers.Refused)
	case upstream.DialSilent:
		e.observeLoss(server, lostservers.Silent)
	}
}

// observeProbe records what the probe of the server of a broken attempt shows.
func (e *exchange) observeProbe(ctx context.Context, server placement.Candidate, found upstream.ProbeResult, err error) {
	switch {
	case ctx.Err() != nil: // the probe ended early
	case found == upstream.ProbeAccepted:
		e.observeLife(server)
	case upstream.DialFailureOf(err) == upstream.DialRefused:
		e.observeLoss(server, lostservers.Refused)
	case upstream.DialFailureOf(err) == upstream.DialSilent:
		e.observeLoss(server, lostservers.Reset)
	}
}

// observeLoss records that a server was seen not to serve, and reports it.
func (e *exchange) observeLoss(server placement.Candidate, kind lostservers.Kind) {
	if !e.sharesLosses() {
		return
	}
	g := e.gateway
	g.counters.losses.seen[kind].Inc(1)
	evidence := lostservers.Evidence{Server: noticeServer(server), Kind: kind, SeenAt: g.lostClock()}
	if g.cfg.Lost.Observe(evidence) {
		g.counters.losses.reported.Inc(1)
		g.cfg.LossReporter.ReportLoss(evidence)
	}
}

// observeLife records that a server responds.
func (e *exchange) observeLife(server placement.Candidate) {
	if e.sharesLosses() {
		e.gateway.cfg.Lost.Alive(noticeServer(server), e.gateway.lostClock())
	}
}

// observeEvent records that the server of an attempt sends events.
func (e *exchange) observeEvent(attempt *placedAttempt, now time.Time) {
	if now.Sub(attempt.lifeAt) < lifeInterval {
		return
	}
	attempt.lifeAt = now
	e.observeLife(attempt.Server)
}
