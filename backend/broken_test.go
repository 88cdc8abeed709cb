package backend

import (
	"testing"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// Each invariant of the package detects a deliberately broken state.
func TestInvariantsDetectBrokenState(t *testing.T) {
	ledger := func() *Ledger { return NewLedger(LedgerConfig{Capacity: 100}) }
	invarianttest.Violates(t, "backend.ledger.bounds", func() {
		l := ledger()
		l.reservedTokens = 101
		l.checkInvariants()
	})
	invarianttest.Violates(t, "backend.ledger.earmark", func() {
		l := ledger()
		l.queue.earmark = 1 // without a waiter
		l.checkInvariants()
	})
	invarianttest.Violates(t, "backend.ledger.long", func() {
		l := ledger()
		l.longTokens = 100
		l.checkInvariants()
	})
	invarianttest.Violates(t, "backend.table.forward", func() {
		rec := &record{row: Row{Incarnation: 5}}
		rec.startIncarnation(4)
	})
}
