package gateway

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/upstream"
)

// A request may crash every server that begins to run it, and its caller sends it again.
// Such a crash shows as a connection that breaks before the end of the response, to a
// server that then refuses connections, or that turns out to have been replaced or to be
// gone a little later.
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

// DeathReporter reports to other entries that a request was running when a server died, and
// that a request for which deaths were recorded ran to its end. Its methods must not block.
type DeathReporter interface {
	ReportDeath(r quarantine.Record)
	ReportCompletion(fingerprint uint64)
	ReportPartDeath(d quarantine.PartDeath)
	// ReportPartsCleared reports that a request with parts began to respond at a time.
	ReportPartsCleared(parts []quarantine.Part, at time.Time)
}

// computeFingerprint returns a hash that is the same for every attempt with the same
// caller, host, path, body and prompt.
func (e *exchange) computeFingerprint() uint64 {
	h := xxhash.New()
	content := [][]byte{[]byte(e.callerName()), []byte(e.incoming.Host), []byte(requestTarget(e.incoming)), e.body}
	if prompt := e.info.Prompt; len(prompt.SharedParts) > 0 {
		content = append(content, []byte(prompt.Model))
		for _, part := range prompt.SharedParts {
			content = append(content, binary.LittleEndian.AppendUint64(nil, part))
		}
	}
	for _, field := range content {
		// Write never fails on a hash. The zero byte separates the fields.
		_, _ = h.Write(field)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// callerName identifies the caller of a request: its workspace if it has one, because the
// keys of a workspace are replaced, and otherwise its key.
func (e *exchange) callerName() string {
	if e.workspace != nil {
		return e.workspace.Name
	}
	return e.info.APIKey
}

// isQuarantined reports whether the request is refused because of the servers that died
// while running it.
func (e *exchange) isQuarantined() bool {
	e.gateway.recordPossibleDeaths(func(s possibleDeath) bool {
		return s.fingerprint == e.fingerprint || sharePart(s.parts, e.parts)
	})
	return e.gateway.cfg.Quarantine.Verdict(e.fingerprint, time.Now()) == quarantine.Refuse
}

// recordCompletion clears the server deaths that are recorded for a request which got its
// response, because a request that kills servers gets none. Otherwise a call that many
// callers make, with the same path and no body, would be refused after three servers had
// died of other causes.
func (e *exchange) recordCompletion() {
	if e.outcome != outcomeAnswered || e.status >= http.StatusInternalServerError {
		return
	}
	e.gateway.possibleDeaths.remove(func(s possibleDeath) bool { return s.fingerprint == e.fingerprint })
	if e.gateway.cfg.Quarantine.Clear(e.fingerprint, time.Now()) {
		e.gateway.cfg.DeathReporter.ReportCompletion(e.fingerprint)
	}
}

// brokenStage is the part of a response in which an attempt broke.
type brokenStage string

const (
	stageHead   brokenStage = "head"
	stageBody   brokenStage = "body"
	stageStream brokenStage = "stream"
)

// recordBreak records the death of the server of an attempt that broke with err, if the
// server is gone. If that isn't known yet, the death is possible, also if the server was
// silent until the request timed out or moved. An attempt that its caller ended shows nothing of the
// request, but its server may have died under a part of the prompt.
func (e *exchange) recordBreak(ctx context.Context, attempt *placedAttempt, stage brokenStage, err error) {
	if e.recordOverLimit(attempt, err) {
		return
	}
	ended := time.Now()
	if timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded); timedOut || movedAway(ctx) {
		e.addPossibleDeaths(attempt, ended, true)
		return
	}
	if ctx.Err() != nil {
		e.addPossiblePartDeath(attempt, ended)
		return
	}
	if e.inspectServer(ctx, attempt, stage, err) != upstream.ProbeRefused {
		e.addPossibleDeaths(attempt, ended, isTimeout(err))
		return
	}
	e.gateway.recordDeath(e.possibleDeathOf(attempt, attempt.Server, ended))
}

// possibleDeathOf returns the death of a server under an attempt. Parts of the prompt are suspect
// only if no server had begun to respond.
func (e *exchange) possibleDeathOf(attempt *placedAttempt, server placement.Candidate, ended time.Time) possibleDeath {
	s := possibleDeath{
		fingerprint: e.fingerprint, requestID: e.info.ID, server: server, death: deathOf(server, e.placedAt, ended),
		expires: ended.Add(possibleDeathTTL),
	}
	if !attempt.began {
		s.parts = e.parts
	}
	return s
}

// deathOf returns the death of a server under a run.
func deathOf(server placement.Candidate, began, ended time.Time) quarantine.Death {
	id := placement.ServerKey(server.Instance) ^ uint64(server.StartedUnixMs)
	return quarantine.Death{ID: id, Began: began, Ended: ended}
}

// inspectServer checks what became of the server of an attempt that broke, and logs it with
// the deaths that are known of the request, and with what the request may share with others.
func (e *exchange) inspectServer(ctx context.Context, attempt *placedAttempt, stage brokenStage, err error) upstream.ProbeResult {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	found := upstream.ProbeSilent
	if !isTimeout(err) { // a server that has been silent for the timeout would only delay the next attempt
		var probeErr error
		found, probeErr = e.gateway.cfg.Pool.ProbeWithCause(probeCtx, attempt.Server.Address)
		e.observeProbe(ctx, attempt.Server, found, probeErr)
	}
	e.gateway.counters.brokenAttempts[found].Inc(1)
	e.gateway.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"request": e.info.ID, "server": attempt.Server.Address, "instance": attempt.Server.Instance,
		"broke_in": stage, "server_state": found.String(), "ran_ms": time.Since(e.placedAt).Milliseconds(),
		"deaths": e.gateway.cfg.Quarantine.DeathCount(e.fingerprint, time.Now()),
		"death":  strconv.FormatUint(deathOf(attempt.Server, e.placedAt, time.Now()).ID, 16),
		"began":  attempt.began, "service": e.service.Name, "model": e.info.Prompt.Model, "parts": formatParts(e.info.Prompt.SharedParts),
	}).Info("server of broken attempt checked")
	return found
}

// maxLoggedParts is the number of parts of a prompt in a log line.
const maxLoggedParts = 32

// formatParts returns the parts of a prompt for a log line.
func formatParts(parts []uint64) []string {
	out := make([]string, min(len(parts), maxLoggedParts))
	for i := range out {
		out[i] = strconv.FormatUint(parts[i], 16)
	}
	return out
}

// isTimeout reports whether a connection broke because its peer was silent.
func isTimeout(err error) bool {
	timeout := net.Error(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}

// recordDeath records and reports that a server died under a request.
func (g *Gateway) recordDeath(s possibleDeath) {
	g.recordPartDeath(s)
	if s.partsOnly {
		return
	}
	record, isNew := g.cfg.Quarantine.RecordRunDeath(s.fingerprint, s.death, time.Now())
	if !isNew {
		return
	}
	g.counters.serverDeaths.Inc(1)
	g.cfg.Log.WithField("request", s.requestID).WithField("server", s.server.Address).
		WithField("deaths", record.DeathCount).Warn("server died under a request")
	g.cfg.DeathReporter.ReportDeath(record)
}
