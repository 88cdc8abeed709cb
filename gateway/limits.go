package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/placement"
)

// observeLimit records the request rate that the server of an attempt names in its response.
func (e *exchange) observeLimit(attempt *placedAttempt, v ResponseInfo) {
	if v.OtherInstance {
		return
	}
	server := placement.ServerKey(attempt.Server.Instance)
	if !e.gateway.cfg.Limits.Observe(server, v.RateLimit, e.placedAt, time.Now()) {
		return
	}
	e.gateway.counters.limitChanges.Inc(1)
	e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.info.ID, "server": attempt.Server.Address, "instance": attempt.Server.Instance, "per_second": v.RateLimit,
	}).Info("request limit of server changed")
}
