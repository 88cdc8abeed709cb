package gateway

import (
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/reservation"
)

// run is one attempt on the servers that were chosen for it, with the memory that is
// reserved there.
type run struct {
	placement.Placement
	memory *reservation.Held // nil: none is reserved
	writes bool              // the first event has come
}

// event takes an event of the stream. The first one of each run, not of the stream
// alone, tells that its memory is in use: a resumed stream is read again by others.
func (r *run) event() {
	if !r.writes && r.memory != nil {
		r.memory.Used()
	}
	r.writes = true
	r.Event()
}

// end gives back what the attempt took.
func (r *run) end() {
	r.End()
	if r.memory != nil {
		r.memory.Release()
	}
}
