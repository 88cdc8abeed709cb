package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

// attempt places the request, sends it to the chosen server and, if there is a response,
// relays it.
func (e *exchange) attempt(ctx context.Context) (nextStep, Reason) {
	defer e.stopParts()
	attempt, reason := e.placeBeforeShutdown(ctx)
	if reason != "" {
		return stepFail, reason
	}
	defer attempt.release()
	if reason := e.reauthorize(); reason != "" {
		return stepFail, reason
	}
	if e.isQuarantined() { // other runs of it may have killed servers while this one waited
		return stepFail, e.reasonBeforeSend(ReasonKillsServers)
	}
	if e.refusedByShutdown() { // its body, its wait or an earlier attempt took long
		return stepFail, ReasonShuttingDown
	}
	if !e.spendRetry() {
		e.stopRetrying(limitBudget)
		return stepFail, e.reasonBeforeSend(ReasonServersRefused)
	}
	e.triedInstances[attempt.Server.Instance] = true
	e.serverAddress = attempt.Server.Address
	e.placement = attempt.Placement
	e.placedAt = time.Now()
	e.gateway.counters.attempts.Inc(1)
	attemptCtx, cancel := attempt.context(ctx)
	defer cancel()
	attemptCtx, stopWatch := e.watchSilence(attemptCtx, attempt)
	defer stopWatch()
	next, reason := e.sendAndRelay(attemptCtx, attempt)
	if neverStarted(attemptCtx) {
		e.recordNeverStarted(attempt)
	}
	return next, reason
}

// placeBeforeShutdown places the attempt like placeWithParts. It stops waiting when the shutdown
// refuses the request.
func (e *exchange) placeBeforeShutdown(ctx context.Context) (*placedAttempt, Reason) {
	ctx, cancel := e.limitWait(ctx)
	defer cancel()
	attempt, reason := e.placeWithParts(ctx)
	if reason != "" && errors.Is(context.Cause(ctx), errRefusedLate) {
		reason = ReasonShuttingDown
	}
	return attempt, reason
}

// spendRetry counts a retry as sent now. It returns false if the budget no longer covers it.
func (e *exchange) spendRetry() bool {
	return e.retry == nil || e.retry.Sent(boottime.Now())
}

// sendAndRelay sends the request to the server of an attempt and, if there is a response,
// relays it.
func (e *exchange) sendAndRelay(ctx context.Context, attempt *placedAttempt) (nextStep, Reason) {
	response, err := e.send(ctx, attempt)
	if err != nil {
		return e.handleNoResponse(ctx, attempt, err)
	}
	defer response.Close()
	return e.handleResponse(ctx, attempt, response)
}

// recordNeverStarted records an attempt that was ended because it had not begun. Its
// server counts as one that refused: the next request placed there would wait in the same
// way.
func (e *exchange) recordNeverStarted(attempt *placedAttempt) {
	attempt.Refused("")
	e.gateway.counters.neverStarted.Inc(1)
	e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.info.ID, "server": e.serverAddress, "waited_ms": time.Since(e.placedAt).Milliseconds(),
		"forecast_ms": attempt.Forecast.Milliseconds(),
	}).Info("attempt given up, not begun")
}

// reasonBeforeSend returns the reason for a refusal before a send, which promises that the request
// did not run.
func (e *exchange) reasonBeforeSend(reason Reason) Reason {
	if e.mayHaveRun {
		return ReasonOutcomeUnknown
	}
	return reason
}

func (e *exchange) noServerReason() Reason {
	if e.mayHaveRun {
		return ReasonOutcomeUnknown
	}
	if e.lateForecast > 0 {
		return ReasonDeadlineUnmeetable
	}
	if e.queueFailure != nil {
		return queueReason(e.queueFailure)
	}
	if reason := reasonFor(e.exclusionCause); reason != "" {
		return reason
	}
	if e.sends > 0 {
		return ReasonServersRefused
	}
	return ReasonNoServer
}

// placementQuery describes the request to the placer. It reads nothing that changes during an
// attempt, since a silenceWatch calls it beside the exchange.
func (e *exchange) placementQuery() placement.Query {
	return placement.Query{
		Engine:              e.service.Engine,
		InputTokens:         e.info.Prompt.InputTokens,
		MaxOutputTokens:     e.info.Prompt.MaxOutputTokens,
		FirstTokenObjective: time.Until(e.eventDue()),
		PauseObjective:      e.route.PauseObjective,
		TimeLeft:            time.Until(e.deadline),
		Waited:              time.Since(e.startedAt),
		Priority:            e.priority(),
		Stream:              e.route.Kind == routetable.Stream,
		Workspace:           e.announcedWorkspace(),
		FirstTokenLimit:     e.firstTokenLimit(),
	}
}

// announcedWorkspace returns the key of the workspace that the other entries are told of with
// an attempt, so that all of them count it against the same share; 0 if the service has no
// shares.
func (e *exchange) announcedWorkspace() uint32 {
	if !e.queueEnabled() {
		return 0
	}
	return placement.WorkspaceKey(e.workspaceName())
}

// queueEnabled reports whether requests for the service wait in a queue for room.
func (e *exchange) queueEnabled() bool {
	f := e.gateway.cfg.Options.Features
	return f.Enabled(f.Queue, e.service)
}

// workspaceName returns the name of the request's workspace; empty if its route needs none.
func (e *exchange) workspaceName() string {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.Name
}

// priority returns the priority of the request. The workspace's priority overrides the
// route's.
func (e *exchange) priority() int {
	if e.workspace != nil && e.workspace.HasPriority {
		return e.workspace.Priority
	}
	return e.route.Priority
}

func (e *exchange) send(ctx context.Context, attempt *placedAttempt) (*upstream.Response, error) {
	header := endToEndHeaders(e.incoming.Header)
	a := AttemptInfo{
		Timeout:       time.Until(e.deadline),
		Instance:      attempt.Server.Instance,
		LastEventID:   e.info.LastEventID,
		QueuePriority: attempt.QueuePriority,
	}
	a.Workspace = e.workspaceName()
	if e.stream != nil && e.stream.lastEventID != "" {
		a.LastEventID = e.stream.lastEventID
	}
	a.Helpers = helpersOf(attempt.Placement, attempt.reservation)
	e.gateway.cfg.Protocol.EncodeAttempt(header, a)
	return e.gateway.cfg.Pool.Do(ctx, attempt.Server.Address, &upstream.Request{
		Method:          e.incoming.Method,
		Target:          requestTarget(e.incoming),
		Host:            e.incoming.Host,
		Header:          header,
		Body:            e.body,
		MatchesResponse: e.matchesResponse,
	})
}

// requestTarget returns the path and query as the caller wrote them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// matchesResponse reports whether a response belongs to this request. One without an ID
// can only be a refusal made before the server had read the head.
func (e *exchange) matchesResponse(status int, h http.Header) bool {
	v := e.gateway.cfg.Protocol.DecodeResponse(status, h)
	return v.ID == e.info.ID || v.ID == "" && v.NotRun
}

// handleNoResponse handles an attempt that got no response head.
func (e *exchange) handleNoResponse(ctx context.Context, attempt *placedAttempt, err error) (nextStep, Reason) {
	attempt.watch.end() // its checks read what changes now
	sent := !errors.Is(err, upstream.ErrNotSent)
	if sent {
		e.sends++
	} else {
		e.connectFailures++
		e.retry.Return()
		attempt.Refused("")
		e.observeDialFailure(ctx, attempt.Server, err)
	}
	if ctx.Err() == nil {
		e.gateway.cfg.Log.WithError(err).WithField("request", e.info.ID).Info("attempt failed")
	}
	if sent {
		e.recordBreak(ctx, attempt, stageHead, err)
	}
	return e.decideNext(request.AttemptOutcome{Sent: sent, Deadline: requestEnded(ctx)})
}

// handleResponse handles the head of a response.
func (e *exchange) handleResponse(ctx context.Context, attempt *placedAttempt, r *upstream.Response) (nextStep, Reason) {
	e.sends++
	v := e.gateway.cfg.Protocol.DecodeResponse(r.Status, r.Header)
	e.observeServer(attempt, v)
	if v.NotRun {
		attempt.Refused(v.AtFault)
		e.logRefused(r.Status, v.AtFault)
		return e.decideNext(request.AttemptOutcome{Refused: true, Sent: true})
	}
	e.gateway.possibleDeaths.remove(func(s possibleDeath) bool {
		return s.server.Instance == attempt.Server.Instance && s.death.Ended.Before(e.placedAt)
	})
	if e.stream != nil && r.Status == http.StatusOK && isEventStream(r.Header) {
		return e.relayStream(ctx, attempt, r)
	}
	if e.stream != nil && e.stream.headSent {
		// The caller already has a response head, so a failure to resume can't be
		// relayed.
		return e.decideNext(request.AttemptOutcome{Sent: true, Deadline: requestEnded(ctx)})
	}
	if !attempt.watch.end() {
		return e.decideNext(request.AttemptOutcome{Sent: true, Deadline: requestEnded(ctx)})
	}
	return e.relayResponse(ctx, attempt, r)
}

// isEventStream reports whether a body is a stream of server-sent events.
func isEventStream(h http.Header) bool {
	media, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(media), "text/event-stream")
}

// hopByHop lists the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeaders returns a copy of a header without what applies to one connection only.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range splitList(value) {
			out.Del(name)
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// retryableStatuses lists the error statuses of a server that another server may not
// return.
var retryableStatuses = []int{
	http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
}

func isRetryable(status int) bool { return slices.Contains(retryableStatuses, status) }
