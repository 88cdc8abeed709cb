package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

// attempt sends the request to one server and, if there is one, passes its answer
// on.
func (e *exchange) attempt(ctx context.Context) (step, Reason) {
	run, ok := e.placeWithMemory(ctx)
	if !ok {
		return finish, e.noServer()
	}
	defer run.end()
	if reason := e.judgeAgain(); reason != "" {
		return finish, reason
	}
	e.tried[run.Server.Instance] = true
	e.server = run.Server.Address
	e.placed = run.Placement
	e.placedAt = time.Now()
	e.gateway.tally.attempts.Inc(1)
	bounded, cancel := run.context(ctx)
	defer cancel()
	next, reason := e.exchangeWith(bounded, run)
	if notBegun(bounded) {
		e.givenUp(run)
	}
	return next, reason
}

// exchangeWith sends the request to the server of a run and, if there is one, passes
// its answer on.
func (e *exchange) exchangeWith(ctx context.Context, run *run) (step, Reason) {
	response, err := e.send(ctx, run)
	if err != nil {
		return e.unanswered(ctx, run, err)
	}
	defer response.Close()
	return e.answered(ctx, run, response)
}

// givenUp follows a run that was ended because it had not begun. Its server counts as
// one that refuses: what is placed there next would wait like this one.
func (e *exchange) givenUp(run *run) {
	run.Refused("")
	e.gateway.tally.givenUp.Inc(1)
	e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.env.ID, "server": e.server, "waited_ms": time.Since(e.placedAt).Milliseconds(),
		"forecast_ms": run.Forecast.Milliseconds(),
	}).Info("attempt given up, not begun")
}

func (e *exchange) noServer() Reason {
	if e.mayRun {
		return ReasonOutcomeUnknown
	}
	if e.tooLate > 0 {
		return ReasonDeadlineUnmeetable
	}
	if reason := reasonOf(e.keptOut); reason != "" {
		return reason
	}
	if e.sends > 0 {
		return ReasonServersRefused
	}
	return ReasonNoServer
}

func (e *exchange) query() placement.Query {
	return placement.Query{
		Engine:              e.service.Engine,
		InputTokens:         e.env.Prompt.InputTokens,
		MaxOutputTokens:     e.env.Prompt.MaxOutputTokens,
		FirstTokenObjective: e.route.Objective - time.Since(e.begun),
		PauseObjective:      e.route.PauseObjective,
		TimeLeft:            time.Until(e.end),
		Waited:              time.Since(e.begun),
		Priority:            e.rank(),
		Stream:              e.route.Kind == routetable.Stream,
	}
}

// rank is that of the request: its workspace's goes before its route's.
func (e *exchange) rank() int {
	if e.workspace != nil && e.workspace.HasPriority {
		return e.workspace.Priority
	}
	return e.route.Priority
}

func (e *exchange) send(ctx context.Context, run *run) (*upstream.Response, error) {
	header := endToEnd(e.incoming.Header)
	a := AttemptInfo{
		Timeout:       time.Until(e.end),
		Instance:      run.Server.Instance,
		LastEventID:   e.env.LastEventID,
		QueuePriority: run.QueuePriority,
	}
	if e.workspace != nil {
		a.Workspace = e.workspace.Name
	}
	if e.stream != nil && e.stream.lastID != "" {
		a.LastEventID = e.stream.lastID
	}
	a.Helpers = helpersOf(run.Placement, run.memory)
	e.gateway.cfg.Protocol.EncodeAttempt(header, a)
	return e.gateway.cfg.Pool.Do(ctx, run.Server.Address, &upstream.Request{
		Method:          e.incoming.Method,
		Target:          target(e.incoming),
		Host:            e.incoming.Host,
		Header:          header,
		Body:            e.body,
		MatchesResponse: e.mine,
	})
}

// target is the path and query as the caller wrote them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// mine reports whether an answer is to this request. One without an id can only
// be a refusal made before the server had read the head.
func (e *exchange) mine(status int, h http.Header) bool {
	v := e.gateway.cfg.Protocol.DecodeResponse(status, h)
	return v.ID == e.env.ID || v.ID == "" && v.NotRun
}

// unanswered follows an attempt that got no head of an answer.
func (e *exchange) unanswered(ctx context.Context, run *run, err error) (step, Reason) {
	sent := !errors.Is(err, upstream.ErrNotSent)
	if sent {
		e.sends++
	} else {
		e.dials++
		run.Refused("")
	}
	if ctx.Err() == nil {
		e.gateway.cfg.Log.WithError(err).WithField("request", e.env.ID).Info("attempt failed")
	}
	if sent {
		e.suspect(ctx, run.Placement)
	}
	return e.after(request.AttemptOutcome{Sent: sent, Deadline: timeUp(ctx)})
}

// answered follows the head of an answer.
func (e *exchange) answered(ctx context.Context, run *run, r *upstream.Response) (step, Reason) {
	e.sends++
	v := e.gateway.cfg.Protocol.DecodeResponse(r.Status, r.Header)
	if v.NotRun {
		run.Refused(v.AtFault)
		e.logRefused(r.Status, v.AtFault)
		return e.after(request.AttemptOutcome{Refused: true, Sent: true})
	}
	if e.stream != nil && r.Status == http.StatusOK && isEvents(r.Header) {
		return e.passStream(ctx, run, r)
	}
	if e.stream != nil && e.stream.started {
		// The head is out; a failure to go on can't be passed on.
		return e.after(request.AttemptOutcome{Sent: true, Deadline: timeUp(ctx)})
	}
	return e.passAnswer(ctx, r)
}

// isEvents reports whether a body is a series of events.
func isEvents(h http.Header) bool {
	media, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(media), "text/event-stream")
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of a header without what concerns one connection.
func endToEnd(h http.Header) http.Header {
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

// retriable lists the statuses of a server's failure that another server may not
// share.
var retriable = []int{
	http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
}

func isRetriable(status int) bool { return slices.Contains(retriable, status) }
