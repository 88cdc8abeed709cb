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
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/routetable"
)

// exchange handles one caller's request from its head to the end of the response. One
// goroutine owns it.
type exchange struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	incoming  *http.Request
	startedAt time.Time

	info        RequestInfo
	route       *routetable.Route
	service     *routetable.Service
	workspace   *routetable.Workspace
	revision    uint64
	configAge   time.Duration // age of the configuration when it was last consulted
	body        []byte
	fingerprint uint64            // of caller, host, path, body and prompt
	parts       []quarantine.Part // of its prompt that other requests may share
	deadline    time.Time         // by the caller's or the route's timeout
	stream      *streamRelay      // nil unless the route serves streams

	// keepBeyondShutdown lets the attempts continue when the shutdown is over.
	keepBeyondShutdown func() bool

	sends           int                     // attempts that sent something
	connectFailures int                     // attempts that sent nothing
	retry           *retrybudget.Withdrawal // of the attempt; nil before something was sent
	moveRetry       *retrybudget.Withdrawal // of the attempt that follows a move; nil: none
	moved           bool                    // an attempt that showed nothing was ended for another one
	triedInstances  map[string]bool         // instances that had an attempt
	mayHaveRun      bool                    // an attempt ended without proof that it did not run
	held            holding                 // of a response that is not relayed yet
	lastFailure     *bufferedResponse       // last complete error response of a server, relayed if no attempt succeeds
	firstByteAt     time.Time               // when the caller was sent the first byte
	serverAddress   string                  // address of the last attempt's server
	placement       placement.Placement     // of the last attempt
	placedAt        time.Time               // when the last attempt was placed
	exclusionCause  eligible.Cause          // why the last placement had no server
	lateForecast    time.Duration           // forecast time to the first token if it misses the deadline, else 0
	partsRunning    bool                    // startParts admitted the attempt, and stopParts was not called
	partsAlone      bool                    // no other request with one of the parts may run beside it
	partRetryAt     time.Time               // when a refused part is tried again
	candidateCount  int                     // servers that the last placement could choose from
	waitedForRoom   time.Duration           // time in the queue of this entry
	turns           int                     // how often it looked for room from the queue
	queueFailure    *request.Failure        // why the queue refused it
	retryDelay      time.Duration           // that a refused caller was asked to wait
	outcome         string
	limit           string // limit that ended the attempts, if one did
	status          int
}

func (e *exchange) serve() {
	e.gateway.counters.requests.Inc(1)
	defer e.log()
	if reason := e.admit(); reason != "" {
		e.refuse(reason)
		return
	}
	if reason := e.readBody(); reason != "" {
		e.refuse(reason)
		return
	}
	defer e.gateway.bufferedBodyBytes.Add(-int64(len(e.body)))
	e.fingerprint = e.computeFingerprint()
	e.parts = e.sharedParts()
	if e.isQuarantined() {
		e.refuse(ReasonKillsServers)
		return
	}
	if e.partVerdict().Verdict == quarantine.Refuse {
		e.refuse(ReasonPartKillsServers)
		return
	}
	ctx, cancel := e.requestContext()
	defer cancel()
	controller := http.NewResponseController(e.writer)
	_ = controller.SetWriteDeadline(e.deadline.Add(e.gateway.cfg.Options.WriteSlack)) // error ignored as in readBody
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	e.runAttempts(ctx)
	e.recordCompletion()
	if e.status == 0 {
		// The caller is gone. Returning would make net/http send an empty 200, which no
		// server gave.
		panic(http.ErrAbortHandler)
	}
}

// admit checks the head of a request against the latest configuration. It returns the
// reason for a refusal, or "" to admit the request.
func (e *exchange) admit() Reason {
	g := e.gateway
	table, ok := e.latestTable()
	if !ok {
		return ReasonNoConfig
	}
	if _, listed := g.cfg.Zones.Age(); !listed {
		return ReasonNoConfig // any server's zone may have been evacuated
	}
	if limit := table.Limits().HeaderBytes; limit > 0 && headerSize(e.incoming.Header) > limit {
		return ReasonHeaderTooLarge
	}
	// Decoded before the route is looked up: the log line of a request without a route
	// needs its ID.
	info, err := g.cfg.Protocol.DecodeRequest(e.incoming.Header)
	e.info = info
	e.route, ok = table.Route(e.incoming.Host, e.incoming.URL.EscapedPath())
	if !ok {
		return ReasonNoRoute
	}
	if err != nil || hasParentSegment(e.incoming.URL.Path) {
		return ReasonMalformed
	}
	e.deadline = e.startedAt.Add(timeLimit(info, e.route))
	if reason := e.authorize(table); reason != "" {
		return reason
	}
	if e.refusesNew() {
		return ReasonShuttingDown
	}
	e.service, ok = table.Service(pickService(e.route))
	if !ok {
		return ReasonNoServer
	}
	return ""
}

// latestTable returns the latest configuration and records its revision and age. ok is false
// before the first one.
func (e *exchange) latestTable() (table *routetable.Table, ok bool) {
	table, age, ok := e.gateway.cfg.Routes.Table()
	if ok {
		e.revision, e.configAge = table.Revision(), age
	}
	return table, ok
}

// hasParentSegment reports whether a decoded path has a ".." segment. The route is chosen
// by the prefix of the path. A server that resolves such segments would run a request
// that belongs to another route and needs another key.
func hasParentSegment(path string) bool {
	return slices.Contains(strings.Split(path, "/"), "..")
}

// headerSize returns the size of a header on the wire in bytes.
func headerSize(h http.Header) int {
	const separators = len(": \r\n")
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// authorize finds the workspace of the request's API key. A stale configuration may hold
// keys that operators have removed, so it authorizes no request.
func (e *exchange) authorize(table *routetable.Table) Reason {
	if !table.NeedsKey(e.route) {
		return ""
	}
	if e.configAge > e.gateway.cfg.Options.KeyAge {
		return ReasonStaleConfig
	}
	ws, ok := table.Workspace(e.info.APIKey)
	if !ok {
		return ReasonUnknownKey
	}
	e.workspace = ws
	return ""
}

// reauthorize checks the API key again right before the request is sent, because the key may
// have been removed while the request waited for a server. A request that may have run
// continues: what began under a valid key is finished.
func (e *exchange) reauthorize() Reason {
	if e.workspace == nil || e.mayHaveRun {
		return ""
	}
	table, ok := e.latestTable()
	if !ok || e.configAge > e.gateway.cfg.Options.KeyAge {
		return ReasonStaleConfig
	}
	ws, ok := table.Workspace(e.info.APIKey)
	if !ok || ws.Name != e.workspace.Name {
		return ReasonUnknownKey
	}
	return ""
}

// readBody reads the whole body, so that an attempt that did not run can be repeated on
// another server.
func (e *exchange) readBody() Reason {
	g := e.gateway
	limit := e.bodyLimit()
	if e.incoming.ContentLength > limit {
		return ReasonBodyTooLarge
	}
	if g.bufferedBodyBytes.Load() > g.cfg.Options.BodiesBytes {
		return ReasonBodyMemoryFull
	}
	controller := http.NewResponseController(e.writer)
	// The error is ignored. Only the connections of tests support no deadline, and their
	// reads end without one.
	end := time.Now().Add(g.cfg.Options.BodyTimeout)
	_ = controller.SetReadDeadline(end)
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	stopLimit := e.limitBodyRead(controller, end)
	body, err := io.ReadAll(http.MaxBytesReader(e.writer, e.incoming.Body, limit))
	stopLimit()
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return ReasonBodyTooLarge
	}
	switch {
	case err != nil && e.mayOutlastShutdown():
		return ReasonShuttingDown
	case err != nil:
		return ReasonBodyIncomplete
	}
	e.body = body
	g.bufferedBodyBytes.Add(int64(len(body)))
	return ""
}

func (e *exchange) bodyLimit() int64 {
	table, ok := e.latestTable()
	if !ok || table.Limits().BodyBytes <= 0 {
		return DefaultBodyBytes
	}
	return table.Limits().BodyBytes
}

// runAttempts makes attempts until one gives the caller its response or no further
// attempt is allowed.
func (e *exchange) runAttempts(ctx context.Context) {
	if e.route.Kind == routetable.Stream {
		e.stream = newStreamRelay(e)
	}
	e.triedInstances = map[string]bool{}
	e.gateway.cfg.Budget.RecordRequest(e.service.Name, boottime.Now())
	defer func() { // also if an attempt panics to abort the response
		e.retry.Release()
		e.moveRetry.Release()
	}()
	for {
		next, reason := e.attempt(ctx)
		e.retry.Release()
		if next == stepDone {
			return
		}
		if next == stepFail || !e.mayRetry(ctx) {
			e.respondFinal(ctx, reason)
			return
		}
	}
}

// nextStep is what follows an attempt.
type nextStep uint8

const (
	stepDone  nextStep = iota // the caller has its response or is gone
	stepFail                  // no further attempt is allowed; the caller needs a response
	stepRetry                 // another attempt may follow
)

// decideNext decides what follows an attempt by how the attempt ended. Package request
// has the decision table. The returned reason applies if no other attempt follows.
func (e *exchange) decideNext(s request.AttemptOutcome) (nextStep, Reason) {
	s.Idempotent = e.route.Repeatable()
	s.FirstByte = e.stream != nil && e.stream.headSent
	if !s.Refused && s.Sent {
		e.mayHaveRun = true
	}
	v := request.DecideRetry(s)
	reason := ReasonOutcomeUnknown
	if v.FailureCode == request.NotRun && !e.mayHaveRun {
		reason = ReasonServersRefused
	}
	if v.Action == request.Fail {
		return stepFail, reason
	}
	return stepRetry, reason
}

// mayRetry reports whether another attempt is within the limits of the route, the shared
// budget and the request's deadline.
func (e *exchange) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil {
		return e.stopRetrying(limitTime)
	}
	if e.connectFailures >= e.gateway.cfg.Options.ConnectTries {
		return e.stopRetrying(limitConnect)
	}
	if e.sends == 0 {
		return true
	}
	if e.sends >= max(1, e.route.MaxAttempts) {
		return e.stopRetrying(limitAttempts)
	}
	if e.retry = e.withdrawRetry(); e.retry == nil {
		e.gateway.counters.retriesOverBudget.Inc(1)
		return e.stopRetrying(limitBudget)
	}
	e.gateway.counters.retries.Inc(1)
	return true
}

// stopRetrying records which limit ended the attempts. It returns false.
func (e *exchange) stopRetrying(limit string) bool {
	e.limit = limit
	return false
}

// respondFinal ends a request that no attempt answered. It relays a server's own error
// response if there is one, and otherwise sends a refusal that states whether the request
// may have run. A stream that has begun is aborted.
func (e *exchange) respondFinal(ctx context.Context, reason Reason) {
	switch {
	case e.stream != nil && e.stream.headSent:
		e.abortResponse()
	case e.incoming.Context().Err() != nil:
		e.outcome = outcomeCallerGone
		e.gateway.counters.callersGone.Inc(1)
	case e.lastFailure != nil:
		e.lastFailure.writeTo(e)
	case endedByShutdown(ctx):
		e.refuse(e.reasonBeforeSend(ReasonShuttingDown))
	case ctx.Err() != nil && e.mayHaveRun:
		e.refuse(ReasonTimeout)
	case reason == ReasonServersRefused:
		e.refuse(e.reasonAfterRefusals())
	default:
		e.refuse(reason)
	}
}

// abortResponse ends a response that can't be completed. It closes the caller's
// connection without terminating the body, so that the caller can't take the response
// for complete.
func (e *exchange) abortResponse() {
	e.outcome = outcomeBrokenOff
	e.gateway.counters.brokenResponses.Inc(1)
	panic(http.ErrAbortHandler)
}

func (e *exchange) refuse(reason Reason) {
	reason = reason.confirmed(e.configAge, e.gateway.cfg.Options)
	e.outcome = string(reason)
	e.status = reason.status()
	e.gateway.counters.refused[reason].Inc(1)
	e.retryDelay = e.retryAfter(reason)
	writeRefusal(e.writer, reason, e.retryDelay)
}

// retryAfter returns when the caller may retry. If the response was forecast to miss the
// deadline, the delay is at least the excess: by then the servers are less busy by as
// much.
func (e *exchange) retryAfter(reason Reason) time.Duration {
	after := reason.retryAfter(e.gateway.cfg.Options)
	if reason == ReasonDeadlineUnmeetable {
		after = max(after, e.lateForecast-time.Until(e.deadline))
	}
	switch reason {
	case ReasonDeadlineUnmeetable, ReasonQueueFull:
		after = e.roomRetryAfter(after)
	case ReasonServersLimited:
		after = e.limitRetryAfter(after)
	case ReasonServersBackOff:
		after = e.backOffRetryAfter(after)
	case ReasonPartKillsServers:
		after = e.partRetryAfter(after)
	}
	return after
}
