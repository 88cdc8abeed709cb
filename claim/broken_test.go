package claim

import (
	"testing"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// Verifies that the package's invariant detects a key that was granted twice.
func TestInvariantsDetectViolations(t *testing.T) {
	invarianttest.Violates(t, "claim.grant_stays", func() {
		g := &group{name: "shard"}
		s := &shard{Claims: map[string]keyRecord{"key": {Mark: "another"}}}
		g.checkGrant(s, &op{hash: "key", mark: "mine"})
	})
}
