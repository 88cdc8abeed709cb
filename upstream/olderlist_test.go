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
