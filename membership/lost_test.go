package membership

import (
	"testing"
	"time"
)

// An entry that is cut off from all others for longer than the given silence
// must not report them as silent. If it did, the presence of live entries would
// be deleted.
func TestIsolatedEntryReportsNoSilentPeers(t *testing.T) {
	const silence = 2 * time.Minute
	c := newCluster(t, 3, 6, 1, 11)
	c.run(time.Minute)
	o := c.entries[0].Observer
	if lost := o.SilentPeers(c.now, silence); len(lost) > 0 {
		t.Fatalf("silent although all entries are running: %v", lost)
	}
	c.entries[2].dead = true
	c.run(silence + time.Minute)
	lost := o.SilentPeers(c.now, silence)
	if len(lost) != 1 || lost[0].GetName() != c.entries[2].self.GetName() {
		t.Fatalf("silent entries %v, want the one that is down", lost)
	}
	if all := o.SilentPeers(c.now.Add(time.Hour), silence); len(all) > 0 {
		t.Fatalf("an isolated entry reports silent entries %v", all)
	}
}
