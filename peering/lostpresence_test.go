package peering

import (
	"testing"

	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
)

// Guards against an entry that the others never find again because the store lost its presence.
func TestLostPresenceIsWrittenAgain(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	older := store.Copy()
	startEntry(t, store, "a", 1)
	hasA := func() bool {
		l, err := store.List(t.Context(), KindGateway, "a")
		return err == nil && len(l.Objects) == 1
	}
	waitFor(t, "a announced itself", hasA)
	store.Restore(older)
	waitFor(t, "a announced itself again", hasA)
}
