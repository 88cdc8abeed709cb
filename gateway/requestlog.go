package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/placement"
)

// Outcomes of requests that were not refused. The other outcomes are each a Reason.
const (
	outcomeAnswered   = "answered"
	outcomeCallerGone = "caller_gone" // the caller disconnected first
	outcomeBrokenOff  = "broken_off"  // the response ended early and couldn't be resumed
)

// Limits that end the attempts of a request.
const (
	limitTime     = "time"     // timeout of the caller or the route
	limitConnect  = "dials"    // servers that could not be connected to
	limitAttempts = "attempts" // maximum number of attempts of the route
	limitBudget   = "budget"   // retry budget that all entries share
)

// Sampler decides whether a routine log line is written. Allow also returns the number of
// lines that were skipped before it.
type Sampler interface {
	Allow() (skipped int64, ok bool)
}

// interferenceScale rounds the field harm of the log line to hundredths.
const interferenceScale = 100

// log writes the log line of a request, with what decided it and how it ended. Lines of
// successful requests are sampled under load; each reports the number of lines that were
// skipped before it.
func (e *exchange) log() {
	skipped := int64(0)
	if sampler := e.gateway.cfg.Sampler; sampler != nil && e.isRoutine() {
		var ok bool
		if skipped, ok = sampler.Allow(); !ok {
			return
		}
	}
	fields := logrus.Fields{
		"request": e.info.ID, "outcome": e.outcome, "status": e.status, "revision": e.revision,
		"age_ms": e.configAge.Milliseconds(), "took_ms": time.Since(e.startedAt).Milliseconds(),
		"sends": e.sends, "dials": e.connectFailures, "server": e.serverAddress,
	}
	if e.route != nil {
		fields["route"] = e.route.Name
		fields["objective_ms"] = e.route.Objective.Milliseconds()
	}
	if name := e.workspaceName(); name != "" {
		fields["workspace"] = name
	}
	if e.info.Prompt.InputTokens > 0 {
		fields["tokens"] = e.info.Prompt.InputTokens
	}
	if e.placement.PartTime > 0 {
		fields["placed_ms"] = e.placedAt.Sub(e.startedAt).Milliseconds()
		fields["spread"] = 1 + len(e.placement.Helpers)
		fields["helpers"] = addressesOf(e.placement.Helpers)
		fields["part_ms"] = e.placement.PartTime.Milliseconds()
		fields["forecast_ms"] = e.placement.Forecast.Milliseconds()
		fields["harm"] = math.Round(e.placement.Interference*interferenceScale) / interferenceScale
	}
	if e.lateForecast > 0 {
		fields["forecast_ms"] = e.lateForecast.Milliseconds()
	}
	if !e.firstByteAt.IsZero() {
		fields["first_ms"] = e.firstByteAt.Sub(e.startedAt).Milliseconds()
	}
	if e.stream != nil {
		fields["events"], fields["pause_ms"] = e.stream.events, e.stream.longestPause.Milliseconds()
		fields["pause_limit_ms"] = e.route.PauseObjective.Milliseconds()
	}
	if e.retryDelay > 0 {
		fields["retry_after_ms"] = e.retryDelay.Milliseconds()
	}
	if e.turns > 0 || e.queueFailure != nil {
		fields["waited_ms"], fields["turns"] = e.waitedForRoom.Milliseconds(), e.turns
	}
	if e.limit != "" {
		fields["limit"] = e.limit
	}
	if e.sends > 1 || e.limit == limitBudget {
		e.addBudgetFields(fields)
	}
	if skipped > 0 {
		fields["not_logged"] = skipped
	}
	e.gateway.cfg.Log.WithFields(fields).Info("request")
}

// addBudgetFields adds the use of the service's retry budget to the log line of a request that
// used it or was denied a retry.
func (e *exchange) addBudgetFields(fields logrus.Fields) {
	u := e.gateway.cfg.Budget.Usage(e.service.Name, boottime.Now())
	fields["budget_retries"], fields["budget_requests"] = u.Retries, u.Requests
	fields["budget_allowed"], fields["budget_entries"] = math.Floor(u.Allowed), u.Entries
	fields["budget_borrowed"] = u.Borrowed
}

// logRefused logs an attempt that a server refused, and the server that it named as the
// cause.
func (e *exchange) logRefused(status int, atFault string) {
	e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.info.ID, "server": e.serverAddress, "server_status": status, "at_fault": atFault,
	}).Info("attempt refused")
}

// logFailedResponse logs a response that broke off or reports an error of the server.
func (e *exchange) logFailedResponse(status int, message string) {
	e.gateway.cfg.Log.WithFields(logrus.Fields{"request": e.info.ID, "server": e.serverAddress, "server_status": status}).Info(message)
}

// isRoutine reports whether the request succeeded without a retry.
func (e *exchange) isRoutine() bool {
	return e.outcome == outcomeAnswered && e.status < http.StatusInternalServerError && e.sends <= 1
}

func addressesOf(candidates []placement.Candidate) []string {
	out := make([]string, len(candidates))
	for i, c := range candidates {
		out[i] = c.Address
	}
	return out
}
