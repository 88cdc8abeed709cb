package objectapi

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/internal/boottime"
)

// recoveryRecorder is a Sink that keeps a line for each call.
type recoveryRecorder struct {
	calls      []string
	heldBefore uint64 // of the last call
}

func (r *recoveryRecorder) record(call string, l Listing) {
	r.heldBefore = l.HeldBefore
	names := []string{}
	for _, o := range l.Objects {
		names = append(names, o.Name)
	}
	slices.Sort(names)
	state := map[Recovery]string{Recovered: "recovered", Recovering: "recovering", JustRecovered: "just recovered"}[l.Recovery]
	r.calls = append(r.calls, fmt.Sprintf("%s %s %s: %s", call, FormatRevision(l.Revision), state, strings.Join(names, " ")))
}

func (r *recoveryRecorder) Snapshot(_ string, l Listing) { r.record("list", l) }
func (r *recoveryRecorder) Events(_ string, l Listing)   { r.record("events", l) }

// recoveryTest is a RecoverySink whose clock the test sets.
type recoveryTest struct {
	*RecoverySink
	recoveryRecorder
	now  boottime.Instant
	eras int // calls of OnEra
}

func newRecoveryTest() *recoveryTest {
	s := &recoveryTest{now: boottime.Instant(time.Hour)}
	s.RecoverySink = NewRecoverySink(RecoverySinkConfig{Next: &s.recoveryRecorder, Clock: func() boottime.Instant { return s.now }, OnEra: func() { s.eras++ }})
	return s
}

func (s *recoveryTest) list(era, number uint64, names ...string) {
	s.RecoverySink.Snapshot("K", listing(era, number, names...))
}

func (s *recoveryTest) events(era, number uint64, names ...string) {
	s.RecoverySink.Events("K", listing(era, number, names...))
}

func listing(era, number uint64, names ...string) Listing {
	l := Listing{Revision: JoinRevision(era, number)}
	for _, name := range names {
		l.Objects = append(l.Objects, Object{Name: strings.TrimPrefix(name, "-"), Deleted: strings.HasPrefix(name, "-")})
	}
	return l
}

func (s *recoveryTest) want(t *testing.T, calls ...string) {
	t.Helper()
	if d := cmp.Diff(calls, s.calls); d != "" {
		t.Error(d)
	}
}

// Guards against a listing of an older copy that removes what its writers have not written again yet,
// or that confirms what they hold.
func TestStateOfNewEraIsMarkedUntilItRecovered(t *testing.T) {
	s := newRecoveryTest()
	s.list(1, 48, "a", "b")
	s.events(1, 49)
	s.list(2, 44, "a")
	if s.heldBefore != JoinRevision(1, 49) || s.eras != 1 {
		t.Errorf("held before up to %s, %d eras reported", FormatRevision(s.heldBefore), s.eras)
	}
	s.now = s.now.Add(DefaultRecoveryTime - 1)
	s.events(2, 45, "c")
	s.now = s.now.Add(1)
	s.events(2, 46, "-a")
	s.events(2, 46)
	s.want(t, "list 1.48 recovered: a b", "events 1.49 recovered: ", "list 2.44 recovering: a", "events 2.45 recovering: c",
		"list 2.46 just recovered: c", "events 2.46 recovered: ")
}

// Guards against a recovery that ends too early because the store came back again.
func TestEachEraRecoversAnew(t *testing.T) {
	s := newRecoveryTest()
	s.list(1, 48, "a")
	s.list(2, 44, "a")
	s.now = s.now.Add(DefaultRecoveryTime - 1)
	s.list(4, 40, "b")
	s.now = s.now.Add(DefaultRecoveryTime - 1)
	s.events(4, 41)
	s.now = s.now.Add(1)
	s.events(4, 42)
	s.want(t, "list 1.48 recovered: a", "list 2.44 recovering: a", "list 4.40 recovering: b", "events 4.41 recovering: ", "list 4.42 just recovered: b")
}

// Guards against a process that starts just after the return, and takes an older copy for the state.
func TestFirstListMayBeOfAnOlderCopy(t *testing.T) {
	s := newRecoveryTest()
	s.list(2, 44, "a")
	s.MarkRecovered(1) // a peer of an older era
	s.list(2, 45, "a")
	if s.EraRecovered() {
		t.Error("an era that was just read for the first time counts as recovered")
	}
	s.MarkRecovered(2)
	s.events(2, 46, "b")
	s.want(t, "list 2.44 recovering: a", "list 2.45 recovering: a", "list 2.46 just recovered: a b")
	for _, era := range []uint64{0, 1} {
		s = newRecoveryTest()
		s.list(era, 44, "a")
		if s.calls[0] != "list "+FormatRevision(JoinRevision(era, 44))+" recovered: a" {
			t.Errorf("a store that was never restored: %v", s.calls)
		}
	}
}

// Guards against a kind that is read late, after the era has recovered, and never confirmed.
func TestKindsRecoverWithTheirEra(t *testing.T) {
	s := newRecoveryTest()
	s.list(2, 44)
	s.now = s.now.Add(DefaultRecoveryTime)
	s.RecoverySink.Snapshot("L", listing(2, 50, "x"))
	s.want(t, "list 2.44 recovering: ", "list 2.50 recovered: x")
}

// Guards against revisions that compare by their numbers across eras.
func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	const large = numberMask
	if JoinRevision(1, large) >= JoinRevision(2, 0) || JoinRevision(2, 3) >= JoinRevision(2, 4) || JoinRevision(0, 7) != 7 {
		t.Error("not ordered by era and number")
	}
	if r := JoinRevision(3, 9); EraOf(r) != 3 || NumberOf(r) != 9 || FormatRevision(r) != "3.9" {
		t.Errorf("era %d, number %d, %s", EraOf(r), NumberOf(r), FormatRevision(r))
	}
}
