package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/placement"
)

// Outcomes of requests that were not refused; the others are a Reason.
const (
	outcomeAnswered = "answered"
	outcomeGone     = "caller_gone" // the caller left first
	outcomeBroken   = "broken_off"  // the answer ended early and couldn't be resumed
)

// Limits that end the attempts of a request.
const (
	limitTime     = "time"     // the caller's or the route's
	limitDials    = "dials"    // servers that could not be connected to
	limitAttempts = "attempts" // of the route
	limitBudget   = "budget"   // retries that all entries share
)

// Sampler decides whether a routine line is written, and tells how many before it
// were not.
type Sampler interface {
	Allow() (skipped int64, ok bool)
}

// harmDigits rounds the harm in the log to hundredths.
const harmDigits = 100

// log writes the one line of a request: what decided it, and how it ended. Those
// of requests that went well are thinned out under load; each tells how many
// before it were not written.
func (e *exchange) log() {
	skipped := int64(0)
	if sampler := e.gateway.cfg.Sampler; sampler != nil && e.routine() {
		var ok bool
		if skipped, ok = sampler.Allow(); !ok {
			return
		}
	}
	fields := logrus.Fields{
		"request": e.env.ID, "outcome": e.outcome, "status": e.status, "revision": e.revision,
		"age_ms": e.age.Milliseconds(), "took_ms": time.Since(e.begun).Milliseconds(),
		"sends": e.sends, "dials": e.dials, "server": e.server,
	}
	if e.route != nil {
		fields["route"] = e.route.Name
		fields["objective_ms"] = e.route.Objective.Milliseconds()
	}
	if e.env.Prompt.InputTokens > 0 {
		fields["tokens"] = e.env.Prompt.InputTokens
	}
	if e.placed.PartTime > 0 {
		fields["placed_ms"] = e.placedAt.Sub(e.begun).Milliseconds()
		fields["spread"] = 1 + len(e.placed.Helpers)
		fields["helpers"] = addressesOf(e.placed.Helpers)
		fields["part_ms"] = e.placed.PartTime.Milliseconds()
		fields["forecast_ms"] = e.placed.Forecast.Milliseconds()
		fields["harm"] = math.Round(e.placed.Interference*harmDigits) / harmDigits
	}
	if e.tooLate > 0 {
		fields["forecast_ms"] = e.tooLate.Milliseconds()
	}
	if !e.firstOut.IsZero() {
		fields["first_ms"] = e.firstOut.Sub(e.begun).Milliseconds()
	}
	if e.stream != nil {
		fields["events"], fields["pause_ms"] = e.stream.events, e.stream.longest.Milliseconds()
		fields["pause_limit_ms"] = e.route.PauseObjective.Milliseconds()
	}
	if e.limit != "" {
		fields["limit"] = e.limit
	}
	if skipped > 0 {
		fields["not_logged"] = skipped
	}
	e.gateway.cfg.Log.WithFields(fields).Info("request")
}

// logRefused writes the line of an attempt that a server refused, and which server it
// laid that to.
func (e *exchange) logRefused(status int, atFault string) {
	e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.env.ID, "server": e.server, "server_status": status, "at_fault": atFault,
	}).Info("attempt refused")
}

// logAnswer writes the line of an answer that is not the caller's.
func (e *exchange) logAnswer(status int, message string) {
	e.gateway.cfg.Log.WithFields(logrus.Fields{"request": e.env.ID, "server": e.server, "server_status": status}).Info(message)
}

// routine reports whether the request went well at once.
func (e *exchange) routine() bool {
	return e.outcome == outcomeAnswered && e.status < http.StatusInternalServerError && e.sends <= 1
}

func addressesOf(candidates []placement.Candidate) []string {
	out := make([]string, len(candidates))
	for i, c := range candidates {
		out[i] = c.Address
	}
	return out
}
