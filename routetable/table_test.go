package routetable

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

func sample(revision uint64) *Table {
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
	table := sample(1)
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

func TestKeys(t *testing.T) {
	table := sample(1)
	if w, ok := table.Workspace("k"); !ok || w.Name != "w" {
		t.Errorf("workspace %+v", w)
	}
	for _, key := range []string{"", "K", "orphan"} {
		if _, ok := table.Workspace(key); ok {
			t.Errorf("key %q is taken", key)
		}
	}
	open, _ := table.Route("b.example", "/")
	shut, _ := table.Route("a.example", "/")
	if table.NeedsKey(open) || !table.NeedsKey(shut) {
		t.Error("public routes need no key, all others do")
	}
}

// clock is a boottime.Clock that a test moves.
type clock struct{ now boottime.Instant }

func (c *clock) read() boottime.Instant { return c.now }

// Symptom: a removed route answers again for a moment.
// Sequence: the newest configuration is in force; an answer that was on its way for
// long brings an older one.
// Cause: whatever came last was taken for newest.
func TestNeverBackToAnOlderRevision(t *testing.T) {
	c := &clock{}
	h := NewHolder(c.read)
	if _, _, ok := h.Table(); ok {
		t.Fatal("a table before the first")
	}
	if !h.Offer(sample(7), 0) || h.Offer(sample(6), 0) || h.Offer(sample(7), 0) {
		t.Error("only the newer revision is news")
	}
	if table, _, _ := h.Table(); table.Revision() != 7 {
		t.Errorf("revision %d in force", table.Revision())
	}
}

// Symptom: a removed key is accepted five seconds after its removal.
// Sequence: a watch is asked, the VM is suspended, the watch's answer is read when it
// wakes; or an old answer is read after a newer one.
// Cause: the age was counted from when the answer was read, or on a clock that
// stands still during the suspension.
func TestAgeCountsFromBeforeTheQuestion(t *testing.T) {
	c := &clock{}
	h := NewHolder(c.read)
	asked := c.now
	c.now = c.now.Add(10 * time.Second) // suspended in between
	h.Offer(sample(1), asked)
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

// An older table that is offered proves nothing of the newer one.
func TestOlderTableProvesNothing(t *testing.T) {
	c := &clock{}
	h := NewHolder(c.read)
	h.Offer(sample(2), 0)
	c.now = c.now.Add(time.Second)
	h.Offer(sample(1), c.now)
	if _, age, _ := h.Table(); age != time.Second {
		t.Errorf("age %v, want 1s", age)
	}
}
