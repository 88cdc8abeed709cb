package routetable

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

func newTestTable(revision uint64) *Table {
	return New(Config{
		Revision: revision,
		Routes: []Route{
			{Name: "all", Host: "A.example", Prefix: "/"},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
			{Name: "x", Host: "a.example", Prefix: "/x/"},
			{Name: "open", Host: "b.example", Prefix: "/", Public: true},
		},
		Services:   []Service{{Name: "s"}},
		Workspaces: []Workspace{{Name: "w"}},
		Keys:       map[string]string{"k": "w", "orphan": "nobody"},
	})
}

func TestLongestPrefixWins(t *testing.T) {
	table := newTestTable(1)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:8080", "/x/yy", "x"},
		{"A.EXAMPLE", "/x", "all"},
		{"b.example", "/x/y/", "open"},
		{"c.example", "/", ""},
	} {
		r, ok := table.Route(c.host, c.path)
		if ok != (c.want != "") || ok && r.Name != c.want {
			t.Errorf("%s%s: route %+v, want %q", c.host, c.path, r, c.want)
		}
	}
}

func TestAPIKeys(t *testing.T) {
	table := newTestTable(1)
	if w, ok := table.Workspace("k"); !ok || w.Name != "w" {
		t.Errorf("workspace %+v", w)
	}
	for _, key := range []string{"", "K", "orphan"} {
		if _, ok := table.Workspace(key); ok {
			t.Errorf("key %q is accepted", key)
		}
	}
	open, _ := table.Route("b.example", "/")
	protected, _ := table.Route("a.example", "/")
	if table.NeedsKey(open) || !table.NeedsKey(protected) {
		t.Error("NeedsKey must be false for public routes and true for all others")
	}
}

// clock is a boottime.Clock set by a test.
type clock struct{ now boottime.Instant }

func (c *clock) read() boottime.Instant { return c.now }

// Guards against a removed route being served again for a moment: a delayed answer may
// carry an older configuration than the one in force, and accepting whatever arrived
// last would restore it.
func TestOlderRevisionIsRejected(t *testing.T) {
	c := &clock{}
	h := NewHolder(c.read)
	if _, _, ok := h.Table(); ok {
		t.Fatal("an empty Holder returned a table")
	}
	if !h.Offer(newTestTable(7), 0) || h.Offer(newTestTable(6), 0) || h.Offer(newTestTable(7), 0) {
		t.Error("Offer must return true only for a newer revision")
	}
	if table, _, _ := h.Table(); table.Revision() != 7 {
		t.Errorf("revision %d in force", table.Revision())
	}
}

// Guards against accepting a removed key five seconds after its removal. A watch call
// starts, the VM is suspended, and the answer is read after the VM resumes, or an old
// answer is read after a newer one. The age is then too low if it is counted from when
// the answer was read, or on a clock that stops during the suspension.
func TestAgeCountsFromTheStartOfTheCall(t *testing.T) {
	c := &clock{}
	h := NewHolder(c.read)
	asked := c.now
	c.now = c.now.Add(10 * time.Second) // the VM is suspended in between
	h.Offer(newTestTable(1), asked)
	if _, age, _ := h.Table(); age != 10*time.Second {
		t.Errorf("age %v, want 10s", age)
	}
	h.MarkCurrent(c.now)
	h.MarkCurrent(asked)
	c.now = c.now.Add(time.Second)
	if _, age, _ := h.Table(); age != time.Second {
		t.Errorf("age %v, want 1s", age)
	}
}

// Checks that offering an older table doesn't reset the age of the newer one.
func TestOlderTableDoesNotRefreshAge(t *testing.T) {
	c := &clock{}
	h := NewHolder(c.read)
	h.Offer(newTestTable(2), 0)
	c.now = c.now.Add(time.Second)
	h.Offer(newTestTable(1), c.now)
	if _, age, _ := h.Table(); age != time.Second {
		t.Errorf("age %v, want 1s", age)
	}
}
