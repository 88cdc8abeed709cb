package slo

import (
	"math"
	"time"
)

// ringCells is the number of cells that a window is divided into. A ring has one more for the
// cell in progress.
const ringCells = 30

// cell counts the requests of one interval of time.
type cell struct {
	good uint32
	bad  uint32
}

// ring holds the counts of one window. Cells are aligned to absolute time, so that the rings of
// different processes can be added cell by cell.
type ring struct {
	width  time.Duration // of a cell
	newest int64         // newest epoch; cells hold newest-ringCells..newest
	cells  [ringCells + 1]cell
}

// cellWidth returns the width of a cell of a window.
func cellWidth(window time.Duration) time.Duration { return window / ringCells }

// epochOf returns the number of the cell that contains t, counted from the Unix epoch.
func epochOf(t time.Time, width time.Duration) int64 {
	return t.UnixNano() / int64(width)
}

func (r *ring) cellAt(epoch int64) *cell { return &r.cells[epoch%int64(len(r.cells))] }

// add counts one request. It ignores requests older than the ring.
func (r *ring) add(good bool, now time.Time) {
	epoch := epochOf(now, r.width)
	r.advance(epoch)
	if epoch < r.newest-ringCells {
		return
	}
	c := r.cellAt(epoch)
	if good {
		c.good = saturatingIncrement(c.good)
	} else {
		c.bad = saturatingIncrement(c.bad)
	}
}

// advance clears the cells between the newest epoch and a later one. Otherwise a cell would
// still hold the counts of the previous turn of the ring, and an old outage would be counted
// again.
func (r *ring) advance(epoch int64) {
	if epoch <= r.newest {
		return
	}
	for e := max(r.newest+1, epoch-ringCells); e <= epoch; e++ {
		*r.cellAt(e) = cell{}
	}
	r.newest = epoch
}

func saturatingIncrement(n uint32) uint32 {
	if n == math.MaxUint32 {
		return n
	}
	return n + 1
}
