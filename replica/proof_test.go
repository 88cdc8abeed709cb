package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/internal/boottime"
)

// host is a VM with a clock of its own: what it shows is the true time and an offset
// that nobody else knows.
type host struct{ offset time.Duration }

func (h host) clock(at time.Duration) boottime.Instant { return boottime.Instant(at + h.offset) }

// Symptom: a key runs on after the five seconds in which its removal has to be in
// force.
// Sequence: an entry asks a peer how old its configuration is; the question or the
// answer is held up for seconds, since one of the VMs is suspended, a link is cut or a
// datagram is repeated; the answer counts as if it had just been given.
// Cause: an age that is counted from when the answer is read. Counting from before
// the question was sent, no time on the way can make a state look newer.
func TestProofIsNeverNewerThanItsCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		asker := host{offset: step("clock of the asker")}
		peer := host{offset: step("clock of the peer")}
		// True times, in the order of events; each stretch may be a suspension.
		confirmed := step("confirmed")
		asked := step("asked")
		arrived := asked + step("on its way, or waiting to be read")
		if confirmed > arrived && rapid.Bool().Draw(t, "confirmed before it arrived") {
			confirmed = arrived
		}
		answered := max(arrived, confirmed) + step("until answered")
		read := answered + step("on its way back, or waiting to be read")

		proof := proofAt(peer.clock(confirmed), peer.clock(arrived))
		got := proof.instant(asker.clock(asked), asker.clock(read))
		if latest := asker.clock(confirmed); got > latest {
			t.Fatalf("taken as current %v after it was", got.Sub(latest))
		}
		if got > asker.clock(read) {
			t.Fatalf("current %v in the future", got.Sub(asker.clock(read)))
		}
	})
}

// Symptom and cause are those above. Sequence: a peer with a broken clock says that its
// state will be current for an hour.
func TestProofOfTheFutureIsCutOff(t *testing.T) {
	const asked, now = boottime.Instant(time.Minute), boottime.Instant(time.Minute + time.Second)
	if got := ConfirmedOffset(time.Hour).instant(asked, now); got != now {
		t.Errorf("current %v from now", got.Sub(now))
	}
}
