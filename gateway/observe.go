package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/servernotice"
)

// DrainReporter reports to other entries that a server announced that it drains. ReportDrain must
// not block.
type DrainReporter interface {
	ReportDrain(s servernotice.Server)
}

// observeServer records what the response to an attempt shows of its server. A response of
// another instance announces nothing of the expected one.
func (e *exchange) observeServer(attempt *placedAttempt, v ResponseInfo) {
	if v.OtherInstance {
		return
	}
	e.observeLife(attempt.Server)
	now := time.Now()
	e.observeLimit(attempt, v.RateLimit, now)
	e.observeDraining(attempt, v.Draining, now)
	e.observeBackOff(attempt, v.BackOff, now)
}

// observeLimit records the request rate that a server names, and reports a change.
func (e *exchange) observeLimit(attempt *placedAttempt, perSecond float64, now time.Time) {
	server := placement.ServerKey(attempt.Server.Instance)
	if !e.gateway.cfg.Limits.Observe(server, perSecond, e.placedAt, now) {
		return
	}
	e.gateway.cfg.LimitReporter.ReportLimit(serverlimit.Observation{Server: server, PerSecond: perSecond})
	e.gateway.counters.limitChanges.Inc(1)
	e.noticeLog(attempt).WithField("per_second", perSecond).Info("request limit of server changed")
}

// observeDraining records that a server drains, and reports it.
func (e *exchange) observeDraining(attempt *placedAttempt, draining bool, now time.Time) {
	server := noticeServer(attempt.Server)
	if !draining || !e.gateway.cfg.Notices.SetDraining(server, now) {
		return
	}
	e.gateway.cfg.DrainReporter.ReportDrain(server)
	e.gateway.counters.drainNotices.Inc(1)
	e.noticeLog(attempt).Info("server announced that it drains")
}

// observeBackOff records for how long a server wants no requests from this entry.
func (e *exchange) observeBackOff(attempt *placedAttempt, backOff time.Duration, now time.Time) {
	if backOff <= 0 || !e.gateway.cfg.Notices.BackOff(noticeServer(attempt.Server), now.Add(backOff), now) {
		return
	}
	e.gateway.counters.backOffNotices.Inc(1)
	e.noticeLog(attempt).WithField("back_off_ms", backOff.Milliseconds()).Info("server wants no requests for a time")
}

// noticeLog returns the log for a line about the server of an attempt.
func (e *exchange) noticeLog(attempt *placedAttempt) logrus.FieldLogger {
	return e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.info.ID, "server": attempt.Server.Address, "instance": attempt.Server.Instance,
	})
}

// noticeServer returns the server to which the notices in the responses of a candidate belong.
func noticeServer(c placement.Candidate) servernotice.Server {
	return servernotice.ServerOf(c.Instance, c.StartedUnixMs)
}
