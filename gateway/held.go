package gateway

import "sync/atomic"

// freeHeldBytes is what an exchange may hold of a response without asking heldBytes: nearly all
// responses and events are shorter.
const freeHeldBytes = 64 << 10

// heldBytes limits what all exchanges together hold of responses that are not relayed yet. It
// is safe for concurrent use.
type heldBytes struct {
	max  int64
	used atomic.Int64
}

// holding is the share of one exchange in heldBytes. One goroutine uses it.
type holding struct {
	total *heldBytes
	taken int64
}

// resize changes the share to what a buffer of size bytes needs, and reports whether it did. A
// smaller share is always granted.
func (h *holding) resize(size int) bool {
	want := int64(max(size-freeHeldBytes, 0))
	more := want - h.taken
	if h.total.used.Add(more) > h.total.max && more > 0 {
		h.total.used.Add(-more)
		return false
	}
	h.taken = want
	return true
}
