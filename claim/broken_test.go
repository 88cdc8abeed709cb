package claim

import (
	"testing"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// The invariant of the package notices a key that was granted twice.
func TestBrokenStatesAreNoticed(t *testing.T) {
	invarianttest.ExpectViolation(t, "claim.grant_stays", func() {
		g := &group{name: "shard"}
		s := &shard{Claims: map[string]entry{"key": {Mark: "another"}}}
		g.checkGrant(s, &op{hash: "key", mark: "mine"})
	})
}
