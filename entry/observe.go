package entry

import (
	"net/http"
	"time"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/slo"
)

// reportObservation reports the outcome of the request for the service-level
// objectives. It skips plain services, which have no tokens, and requests that
// failed because of their caller.
func (c *call) reportObservation(f *request.Failure, now time.Time) {
	if c.e.cfg.OnObservation == nil || c.body == nil || isCallerFault(f) {
		return
	}
	o := slo.Observation{
		Workspace:  c.spec.Workspace,
		Class:      c.spec.Class(),
		Failed:     f != nil,
		InterToken: -1,
	}
	if !c.firstTokenAt.IsZero() {
		o.TTFT = c.firstTokenAt.Sub(c.spec.Arrived)
	}
	if gaps := c.outputTokens - 1; gaps > 0 {
		o.InterToken = now.Sub(c.firstTokenAt) / time.Duration(gaps)
	}
	c.e.cfg.OnObservation(o)
}

// isCallerFault reports whether a failure is due to the caller: an invalid
// request, a limit of its workspace, or a disconnect.
func isCallerFault(f *request.Failure) bool {
	return f != nil && f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError
}
