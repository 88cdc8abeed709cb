package membership

import (
	"testing"
	"time"
)

// Symptom: a live entry's presence is deleted.
// Sequence: an entry is cut off from everybody for longer than the silence after
// which others count as lost.
// Cause: it blames the others for its own isolation.
func TestOnlyOthersSilenceCountsAsLost(t *testing.T) {
	const silence = 2 * time.Minute
	c := newCluster(t, 3, 6, 1, 11)
	c.run(time.Minute)
	o := c.entries[0].Observer
	if lost := o.SilentPeers(c.now, silence); len(lost) > 0 {
		t.Fatalf("lost while all are heard: %v", lost)
	}
	c.entries[2].dead = true
	c.run(silence + time.Minute)
	lost := o.SilentPeers(c.now, silence)
	if len(lost) != 1 || lost[0].GetName() != c.entries[2].self.GetName() {
		t.Fatalf("lost %v, want the one that is down", lost)
	}
	if all := o.SilentPeers(c.now.Add(time.Hour), silence); len(all) > 0 {
		t.Fatalf("an entry that hears nobody lost %v", all)
	}
}
