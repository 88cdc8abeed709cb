package replica

import (
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

// ConfirmedOffset is the time at which the object API last confirmed a state, relative to
// the arrival of a peer's request. One VM can send it to another without knowing the
// other's clock. It is measured on a clock that continues while the VM is suspended, and
// is negative for a time before the arrival.
type ConfirmedOffset time.Duration

// newConfirmedOffset is used by the responding VM. confirmed is the start of the call to the
// object API whose response contained or confirmed the state, and arrived is the time at
// which the service began to handle the peer's request.
func newConfirmedOffset(confirmed, arrived boottime.Instant) ConfirmedOffset {
	return ConfirmedOffset(confirmed.Sub(arrived))
}

// localInstant is used by the requesting VM. It returns the latest time on the own clock at
// which the state was certainly current. sent is the time before the request was sent, and
// now the time after the response was read.
//
// The request arrived at the peer after it was sent. Counting from sent therefore makes the
// state look older by the time that the request was under way, and never newer. The time
// that the response takes, for instance in a buffer of a suspended VM, has no effect. A
// result in the future is capped at now: otherwise a peer with a wrong clock could keep a
// removed key in use for any length of time.
func (o ConfirmedOffset) localInstant(sent, now boottime.Instant) boottime.Instant {
	return min(sent.Add(time.Duration(o)), now)
}
