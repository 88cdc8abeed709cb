package backend

import (
	"testing"

	"github.com/briarturn/briarturn/invariant/invarianttest"
)

// Each invariant of the package notices a deliberately broken state.
func TestBrokenStatesAreNoticed(t *testing.T) {
	ledger := func() *Ledger { return NewLedger(LedgerConfig{Capacity: 100}) }
	invarianttest.ExpectViolation(t, "backend.ledger.bounds", func() {
		l := ledger()
		l.reserved = 101
		l.check()
	})
	invarianttest.ExpectViolation(t, "backend.ledger.earmark", func() {
		l := ledger()
		l.queue.earmark = 1 // for nobody
		l.check()
	})
	invarianttest.ExpectViolation(t, "backend.ledger.long", func() {
		l := ledger()
		l.long = 100
		l.check()
	})
	invarianttest.ExpectViolation(t, "backend.table.forward", func() {
		rec := &record{row: Row{Incarnation: 5}}
		rec.restart(4)
	})
}
