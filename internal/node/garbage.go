package node

import (
	"os"
	"runtime/debug"
)

// GCPercent is by how much of the live heap the heap may grow before the
// collector runs. The runtime's default of 100 would take an entry of a large
// region over the memory that a node may spend on control; see
// docs/CAPACITY.md. The price is a collection for each 40% of the live heap
// allocated, where the default takes one for the whole.
const GCPercent = 40

// LimitGarbage sets GCPercent for this process, unless the environment's GOGC
// says otherwise. No hard limit is set: at one, a process with more open streams
// than usual would collect without end, and answer nobody.
func LimitGarbage() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(GCPercent)
	}
}
