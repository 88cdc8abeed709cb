package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/servernotice"
)

// backOffRetryAfter returns when a caller may retry whose servers all want no requests: when the
// first of them takes some again, at least shortest. Callers that are refused together are
// spread, so that this server doesn't get them all at that moment.
func (e *exchange) backOffRetryAfter(shortest time.Duration) time.Duration {
	now, notices := time.Now(), e.gateway.cfg.Notices.View()
	first := time.Duration(0)
	for _, s := range e.gateway.cfg.Directory.AvailableServers(e.service.Name, now) {
		left := notices.BackOffLeft(servernotice.ServerOf(s.Instance, s.StartedUnixMs), now)
		if left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	after := max(first, shortest)
	return after + rand.N(after/2)
}
