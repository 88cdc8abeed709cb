package entry

import (
	"net/http"
	"time"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/slo"
)

// observe tells the service-level counts what became of the request. A plain
// service has no tokens, and a request that failed through its caller's own
// fault says nothing of the system.
func (c *call) observe(f *request.Failure, now time.Time) {
	if c.e.cfg.OnObservation == nil || c.body == nil || callersFault(f) {
		return
	}
	o := slo.Observation{
		Workspace:  c.spec.Workspace,
		Class:      c.spec.Class(),
		Failed:     f != nil,
		InterToken: -1,
	}
	if !c.firstToken.IsZero() {
		o.TTFT = c.firstToken.Sub(c.spec.Arrived)
	}
	if gaps := c.output - 1; gaps > 0 {
		o.InterToken = now.Sub(c.firstToken) / time.Duration(gaps)
	}
	c.e.cfg.OnObservation(o)
}

// callersFault reports whether a failure is due to the caller: a wrong request,
// a limit of its workspace, or a caller that went away.
func callersFault(f *request.Failure) bool {
	return f != nil && f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError
}
