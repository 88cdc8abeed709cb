package upstream

import (
	"testing"
	"time"
)

// olderList tests a Directory with lists of a store that came back from an older copy.
type olderList struct {
	*Directory
	now time.Time
}

func newOlderList(servers ...Server) *olderList {
	d := &olderList{NewDirectory(DefaultAbsentGrace), time.Unix(1000, 0)}
	d.Replace(servers, d.now)
	d.now = d.now.Add(time.Minute)
	return d
}

func registered(instance string, sequence uint64, draining bool) Server {
	return Server{Instance: instance, Service: "s", StartedUnixMs: 1, Sequence: sequence, Draining: draining}
}

func (d *olderList) wantAvailable(t *testing.T, what string, instance string, want bool) {
	t.Helper()
	got := false
	for _, s := range d.AvailableServers("s", d.now) {
		got = got || s.Instance == instance
	}
	if got != want {
		t.Errorf("%s: available %v, want %v", what, got, want)
	}
}

// Guards against requests to a server that had said that it leaves before the store lost that.
func TestDrainingServerStaysDrainingInOlderList(t *testing.T) {
	for name, sequence := range map[string]uint64{"older": 5, "of unknown order": 0} {
		d := newOlderList(registered("a", sequence, true))
		older := registered("a", max(sequence, 1)-1, false)
		d.MergeOlder([]Server{older}, d.now)
		d.wantAvailable(t, name+", merged", "a", false)
		if sequence > 0 {
			d.ReplaceOlder([]Server{older}, d.now)
			d.wantAvailable(t, name+", complete", "a", false)
		}
	}
	d := newOlderList(registered("a", 5, true))
	d.MergeOlder([]Server{registered("a", 6, false)}, d.now)
	d.wantAvailable(t, "newer", "a", true)
	d = newOlderList(registered("a", 5, false))
	d.MergeOlder([]Server{registered("a", 6, true)}, d.now)
	d.wantAvailable(t, "drains since", "a", false)
	d = newOlderList(registered("a", 0, false))
	d.MergeOlder([]Server{registered("a", 0, true)}, d.now)
	d.wantAvailable(t, "drains, of unknown order", "a", false)
	d = newOlderList(registered("a", 5, false))
	d.ReplaceOlder([]Server{registered("a", 0, true)}, d.now)
	d.wantAvailable(t, "drains, of unknown order, complete", "a", false)
}

// Guards against a server that has become cold and gets requests as a warm one, because its registration can't
// be told from an older one, and against one that counts as cold anew with each list of the same registration.
func TestServerIsColdIfEitherListSaysSo(t *testing.T) {
	cold := func(revision, sequence uint64, d time.Duration, now time.Time) Server {
		s := registered("a", sequence, false)
		s.Revision, s.ColdUntil = revision, now.Add(d)
		return s
	}
	for _, c := range []struct {
		name           string
		held, listed   uint64 // sequences
		heldFor, found time.Duration
		want           time.Duration
	}{
		{"unknown order, cold since", 0, 0, 0, 5 * time.Second, 5 * time.Second},
		{"unknown order, warm in the copy", 0, 0, 5 * time.Second, 0, 5 * time.Second},
		{"older", 5, 4, time.Second, 9 * time.Second, time.Second},
		{"newer", 5, 6, 9 * time.Second, time.Second, time.Second},
		{"the same, read again", 5, 5, time.Second, 9 * time.Second, time.Second},
	} {
		d := newOlderList()
		d.Put(cold(1, c.held, c.heldFor, d.now))
		d.MergeOlder([]Server{cold(2, c.listed, c.found, d.now)}, d.now)
		got, _ := d.Lookup("a")
		if left := got.ColdUntil.Sub(d.now); left != c.want {
			t.Errorf("%s: cold for %v, want %v", c.name, left, c.want)
		}
	}
	d := newOlderList()
	d.Put(cold(1, 5, time.Second, d.now))
	d.ReplaceOlder([]Server{cold(2, 5, 9*time.Second, d.now)}, d.now)
	if got, _ := d.Lookup("a"); got.ColdUntil.Sub(d.now) != time.Second {
		t.Errorf("complete list: cold for %v", got.ColdUntil.Sub(d.now))
	}
}

// Guards against sound servers that get no requests because the copies of their registrations expire right
// after the return, before they register again.
func TestRegistrationThatExpiresAfterTheReturnIsKeptForAWhile(t *testing.T) {
	d := newOlderList(registered("a", 5, false))
	d.MergeOlder([]Server{registered("a", 4, false)}, d.now)
	d.Remove("a", d.now.Add(time.Second))
	d.now = d.now.Add(time.Second)
	d.wantAvailable(t, "expired", "a", true)
	d.now = d.now.Add(DefaultAbsentGrace)
	d.wantAvailable(t, "not registered again", "a", false)
}

// Guards against sound servers that get no requests because the store lost their registrations.
func TestServerThatOlderListLacksIsKeptForAWhile(t *testing.T) {
	d := newOlderList(registered("a", 5, false), registered("b", 5, false))
	d.MergeOlder(nil, d.now)
	d.wantAvailable(t, "missing from the copy", "a", true)
	d.now = d.now.Add(DefaultAbsentGrace)
	d.ReplaceOlder([]Server{registered("b", 6, false)}, d.now)
	d.now = d.now.Add(time.Millisecond)
	d.wantAvailable(t, "not registered again", "a", false)
	d.wantAvailable(t, "registered again", "b", true)
}

// Guards against requests to a server that is gone and that an older copy lists.
func TestServerThatIsGoneDoesNotComeBackWithOlderList(t *testing.T) {
	d := newOlderList(registered("a", 5, false))
	d.Remove("a", d.now)
	older := registered("a", 5, false)
	d.MergeOlder([]Server{older}, d.now)
	d.wantAvailable(t, "merged", "a", false)
	d.ReplaceOlder([]Server{older}, d.now)
	d.wantAvailable(t, "complete", "a", false)
	d.Put(registered("a", 6, false))
	d.wantAvailable(t, "registered again", "a", true)
	d = newOlderList(registered("a", 5, false))
	d.Remove("a", d.now)
	restarted := registered("a", 1, false)
	restarted.StartedUnixMs = 2
	d.MergeOlder([]Server{restarted}, d.now)
	d.wantAvailable(t, "restarted", "a", true)
}

// Guards against a list that grows with each server that ever left.
func TestGoneServersAreForgotten(t *testing.T) {
	d := newOlderList(registered("a", 5, false))
	d.Remove("a", d.now)
	d.now = d.now.Add(goneRetention + 1)
	d.AvailableServers("s", d.now)
	if len(d.gone) > 0 {
		t.Error("still kept")
	}
}
