package replica

import (
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

// ConfirmedOffset is when the object API last confirmed a state, as one VM tells another whose
// clock is not known: relative to the arrival of the question, on a clock that goes
// on while the VM is suspended. It is negative for a time before.
type ConfirmedOffset time.Duration

// proofAt is the answering side: confirmed is when the call to the object API began
// whose answer proved the state, arrived when the peer's question was taken up.
func proofAt(confirmed, arrived boottime.Instant) ConfirmedOffset {
	return ConfirmedOffset(confirmed.Sub(arrived))
}

// instant is the asking side: the latest time, by the own clock, at which the state
// certainly was current. asked is when the question was sent, now when the answer
// was read.
//
// The question arrived at the peer after it was sent, so that counting from asked
// only makes the state look older, by what it was on its way; how long the answer
// took, in a buffer of a suspended VM for instance, doesn't count at all. A proof
// that would lie in the future is cut off at now: a peer may be wrong about that, and
// could else keep a removed key in use for as long as it likes.
func (p ConfirmedOffset) instant(asked, now boottime.Instant) boottime.Instant {
	return min(asked.Add(time.Duration(p)), now)
}
