package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/eligible"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routetable"
)

// exchange is one caller's request from its head to the end of its answer. One
// goroutine owns it.
type exchange struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	incoming *http.Request
	begun    time.Time

	env       RequestInfo
	route     *routetable.Route
	service   *routetable.Service
	workspace *routetable.Workspace
	revision  uint64
	age       time.Duration // of the configuration when the request was judged
	body      []byte
	mark      uint64    // fingerprint of caller, path and body
	end       time.Time // the caller's patience or the route's timeout
	stream    *relay    // of a stream

	sends    int                 // attempts of which something was sent
	dials    int                 // attempts of which nothing was sent
	tried    map[string]bool     // instances that had an attempt
	mayRun   bool                // an attempt ended without proof that it did not run
	held     *answer             // the last whole failure of a server, to be passed on
	firstOut time.Time           // when the caller got the first byte
	server   string              // address of the last attempt
	placed   placement.Placement // of the last attempt
	placedAt time.Time           // when that was chosen
	keptOut  eligible.Cause      // why the last choice had no server
	tooLate  time.Duration       // forecast of a first token past the caller's time, else 0
	outcome  string
	limit    string // which limit ended the attempts, if one did
	status   int
}

func (e *exchange) serve() {
	e.gateway.tally.requests.Inc(1)
	defer e.log()
	if reason := e.admit(); reason != "" {
		e.refuse(reason)
		return
	}
	if reason := e.readBody(); reason != "" {
		e.refuse(reason)
		return
	}
	defer e.gateway.bodies.Add(-int64(len(e.body)))
	if e.poisoned() {
		e.refuse(ReasonKillsServers)
		return
	}
	ctx, cancel, end := deadline(e.incoming.Context(), e.begun, e.env, e.route)
	defer cancel()
	e.end = end
	timed := http.NewResponseController(e.writer)
	_ = timed.SetWriteDeadline(end.Add(e.gateway.cfg.Options.WriteSlack)) // as for reads
	defer func() { _ = timed.SetWriteDeadline(time.Time{}) }()
	e.makeAttempts(ctx)
	e.survived()
	if e.status == 0 {
		// Nobody is there to answer. Returning would have net/http send an empty
		// 200, which no server gave.
		panic(http.ErrAbortHandler)
	}
}

// admit judges the head by the newest configuration.
func (e *exchange) admit() Reason {
	g := e.gateway
	table, age, ok := g.cfg.Routes.Table()
	if !ok {
		return ReasonNoConfig
	}
	if _, listed := g.cfg.Zones.Age(); !listed {
		return ReasonNoConfig // the zone of any server may have been evacuated
	}
	e.revision, e.age = table.Revision(), age
	if limit := table.Limits().HeaderBytes; limit > 0 && headerBytes(e.incoming.Header) > limit {
		return ReasonHeaderTooLarge
	}
	// Before the route is known: the line of a request that has none needs its id.
	env, err := g.cfg.Protocol.DecodeRequest(e.incoming.Header)
	e.env = env
	stale := age > g.cfg.Options.KeyAge
	e.route, ok = table.Route(e.incoming.Host, e.incoming.URL.EscapedPath())
	if !ok && stale {
		return ReasonStaleConfig // a newer configuration may have the route
	}
	if !ok {
		return ReasonNoRoute
	}
	if err != nil || climbs(e.incoming.URL.Path) {
		return ReasonMalformed
	}
	if reason := e.authorize(table, stale); reason != "" {
		return reason
	}
	if g.refusesNew(e.route) {
		return ReasonShuttingDown
	}
	e.service, ok = table.Service(pickTarget(e.route))
	if !ok {
		return ReasonNoServer
	}
	return ""
}

// climbs reports whether a path, decoded, has a segment that stands for the one above.
// The route is chosen by how the path begins, and a server that resolves such
// segments would run what belongs to another route, with another key.
func climbs(path string) bool {
	return slices.Contains(strings.Split(path, "/"), "..")
}

// headerBytes is the size of a header on the wire.
func headerBytes(h http.Header) int {
	const separators = len(": \r\n")
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// authorize finds the workspace. A configuration of unknown age may hold keys that
// operators have removed: it authorizes nobody.
func (e *exchange) authorize(table *routetable.Table, stale bool) Reason {
	if !table.NeedsKey(e.route) {
		return ""
	}
	if stale {
		return ReasonStaleConfig
	}
	ws, ok := table.Workspace(e.env.APIKey)
	if !ok {
		return ReasonUnknownKey
	}
	e.workspace = ws
	return ""
}

// judgeAgain authorizes a request once more right before it is first sent: its key
// may have been removed while it waited for a server. One that was sent before goes
// on: what has begun under a key is finished.
func (e *exchange) judgeAgain() Reason {
	if e.workspace == nil || e.sends > 0 {
		return ""
	}
	table, age, ok := e.gateway.cfg.Routes.Table()
	if !ok || age > e.gateway.cfg.Options.KeyAge {
		return ReasonStaleConfig
	}
	ws, ok := table.Workspace(e.env.APIKey)
	if !ok || ws.Name != e.workspace.Name {
		return ReasonUnknownKey
	}
	return ""
}

// readBody reads the whole body: an attempt that did not run can then be sent to
// another server.
func (e *exchange) readBody() Reason {
	g := e.gateway
	limit := g.bodyLimit()
	if e.incoming.ContentLength > limit {
		return ReasonBodyTooLarge
	}
	if g.bodies.Load() > g.cfg.Options.BodiesBytes {
		return ReasonBodyMemoryFull
	}
	timed := http.NewResponseController(e.writer)
	// A connection that takes no deadline is one of a test; its reads end by
	// themselves.
	_ = timed.SetReadDeadline(time.Now().Add(g.cfg.Options.BodyTimeout))
	defer func() { _ = timed.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(e.writer, e.incoming.Body, limit))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return ReasonBodyTooLarge
	}
	if err != nil {
		return ReasonBodyIncomplete
	}
	e.body = body
	g.bodies.Add(int64(len(body)))
	return ""
}

func (g *Gateway) bodyLimit() int64 {
	table, _, ok := g.cfg.Routes.Table()
	if !ok || table.Limits().BodyBytes <= 0 {
		return DefaultBodyBytes
	}
	return table.Limits().BodyBytes
}

// makeAttempts goes on until one gives the caller its answer or none may follow.
func (e *exchange) makeAttempts(ctx context.Context) {
	if e.route.Kind == routetable.Stream {
		e.stream = newRelay(e)
	}
	e.tried = map[string]bool{}
	e.gateway.cfg.Budget.RecordRequest(e.service.Name, time.Now())
	for {
		next, reason := e.attempt(ctx)
		if next == stop {
			return
		}
		if next == finish || !e.mayGoOn(ctx) {
			e.finish(ctx, reason)
			return
		}
	}
}

// step is what follows an attempt.
type step uint8

const (
	stop   step = iota // the caller has its answer, or is gone
	finish             // no attempt may follow; the caller needs an answer
	again              // another attempt may follow
)

// after decides by how an attempt ended. The table is package request's.
func (e *exchange) after(s request.AttemptOutcome) (step, Reason) {
	s.Idempotent = e.route.Repeatable()
	s.FirstByte = e.stream != nil && e.stream.started
	if !s.Refused && s.Sent {
		e.mayRun = true
	}
	v := request.DecideRetry(s)
	reason := ReasonOutcomeUnknown
	if v.FailureCode == request.NotRun && !e.mayRun {
		reason = ReasonServersRefused
	}
	if v.Action == request.Fail {
		return finish, reason
	}
	return again, reason
}

// mayGoOn reports whether one more attempt is within the limits of the route, the
// shared budget and the caller's time.
func (e *exchange) mayGoOn(ctx context.Context) bool {
	if ctx.Err() != nil {
		return e.noMore(limitTime)
	}
	if e.dials >= e.gateway.cfg.Options.ConnectTries {
		return e.noMore(limitDials)
	}
	if e.sends == 0 {
		return true
	}
	if e.sends >= max(1, e.route.MaxAttempts) {
		return e.noMore(limitAttempts)
	}
	if !e.gateway.cfg.Budget.TryWithdraw(e.service.Name, time.Now()) {
		e.gateway.tally.overBudget.Inc(1)
		return e.noMore(limitBudget)
	}
	e.gateway.tally.again.Inc(1)
	return true
}

// noMore notes which limit ended the attempts.
func (e *exchange) noMore(limit string) bool {
	e.limit = limit
	return false
}

// finish gives the caller the best answer there is: a server's own failure, a
// refusal that is true, or the word that the outcome is unknown.
func (e *exchange) finish(ctx context.Context, reason Reason) {
	switch {
	case e.stream != nil && e.stream.started:
		e.breakOff()
	case e.incoming.Context().Err() != nil:
		e.outcome = outcomeGone
		e.gateway.tally.gone.Inc(1)
	case e.held != nil:
		e.held.deliver(e)
	case ctx.Err() != nil && e.mayRun:
		e.refuse(ReasonTimeout)
	default:
		e.refuse(reason)
	}
}

// breakOff ends an answer that can't be completed. The caller's connection is
// closed without the mark of an end, so that it can't be taken for whole.
func (e *exchange) breakOff() {
	e.outcome = outcomeBroken
	e.gateway.tally.broken.Inc(1)
	panic(http.ErrAbortHandler)
}

func (e *exchange) refuse(reason Reason) {
	e.outcome = string(reason)
	e.status = reason.status()
	e.gateway.tally.refused[reason].Inc(1)
	refuse(e.writer, reason, e.retryAfter(reason))
}

// retryAfter is when the caller may come back. One whose answer would have come too late by
// some seconds finds servers that are less busy by as much.
func (e *exchange) retryAfter(reason Reason) time.Duration {
	after := reason.retryAfter(e.gateway.cfg.Options)
	if reason == ReasonDeadlineUnmeetable {
		after = max(after, e.tooLate-time.Until(e.end))
	}
	return after
}
