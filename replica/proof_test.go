package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/internal/boottime"
)

// vm is a VM with its own clock, which differs from the true time by an offset that is
// unknown to other VMs.
type vm struct{ offset time.Duration }

func (h vm) clock(at time.Duration) boottime.Instant { return boottime.Instant(at + h.offset) }

// Guards against a key that stays valid for longer than the five seconds in which its removal
// must be in force. An entry asks a peer for the age of its configuration, and the request or
// the response is delayed for seconds by a suspended VM, a cut link or a repeated datagram.
// If the age counted from the time at which the response is read, the state would look newer
// than it is; it must count from before the request was sent.
func TestConfirmedTimeIsNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		requester := vm{offset: step("clock of the requester")}
		peer := vm{offset: step("clock of the peer")}
		// True times in the order of events. Each interval may include a suspension.
		confirmed := step("confirmed")
		asked := step("asked")
		arrived := asked + step("on its way, or waiting to be read")
		if confirmed > arrived && rapid.Bool().Draw(t, "confirmed before it arrived") {
			confirmed = arrived
		}
		answered := max(arrived, confirmed) + step("until answered")
		read := answered + step("on its way back, or waiting to be read")

		offset := newConfirmedOffset(peer.clock(confirmed), peer.clock(arrived))
		got := offset.localInstant(requester.clock(asked), requester.clock(read))
		if latest := requester.clock(confirmed); got > latest {
			t.Fatalf("assumed current %v after the confirmation", got.Sub(latest))
		}
		if got > requester.clock(read) {
			t.Fatalf("confirmed %v in the future", got.Sub(requester.clock(read)))
		}
	})
}

// Guards against the same failure if a peer with a broken clock reports that its state was
// confirmed an hour in the future.
func TestConfirmedTimeInTheFutureIsCapped(t *testing.T) {
	const asked, now = boottime.Instant(time.Minute), boottime.Instant(time.Minute + time.Second)
	if got := ConfirmedOffset(time.Hour).localInstant(asked, now); got != now {
		t.Errorf("confirmed %v from now", got.Sub(now))
	}
}
