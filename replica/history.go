package replica

import (
	"github.com/briarturn/briarturn/objectapi"
)

const (
	// historyBatches and historyBytes bound what is kept of the changes of a kind. A peer
	// that asks three times a second is behind by one or two batches; one that was away
	// for longer gets the whole.
	historyBatches = 32
	historyBytes   = 64 << 10
)

// batch is what changed of a kind from one revision of the object API to another. The
// events of a watch lead from any state in between to the latter as well. The difference
// of two listings (net) doesn't: an object may have come and gone in between.
type batch struct {
	from, to uint64
	net      bool
	changed  []objectapi.Object // deletions as tombstones
	bytes    int
}

// follows reports whether the batch may be put onto the state of a revision.
func (b batch) follows(revision uint64) bool {
	return revision == b.from || !b.net && b.from < revision && revision < b.to
}

// history is the newest changes of a kind, without a gap. Without it each change of one
// server has every entry fetch all of them.
type history struct {
	batches []batch
	bytes   int
}

// add appends a batch and drops old ones that are over the bounds.
func (h *history) add(b batch) {
	for _, o := range b.changed {
		b.bytes += len(o.Name) + len(o.Data)
	}
	h.batches = append(h.batches, b)
	h.bytes += b.bytes
	for len(h.batches) > historyBatches || h.bytes > historyBytes && len(h.batches) > 0 {
		h.bytes -= h.batches[0].bytes
		h.batches = h.batches[1:]
	}
}

// since returns the changes after a revision; ok is false if they aren't all known.
func (h *history) since(revision uint64) (changed []objectapi.Object, ok bool) {
	for _, b := range h.batches {
		if !ok && !b.follows(revision) {
			continue
		}
		changed = append(changed, b.changed...)
		ok = true
	}
	return changed, ok
}

// difference is what changed between two states, deletions as tombstones.
func difference(before, after map[string]objectapi.Object) []objectapi.Object {
	var out []objectapi.Object
	for name, o := range after {
		if old, known := before[name]; !known || old.Version != o.Version {
			out = append(out, o)
		}
	}
	for name, o := range before {
		if _, there := after[name]; !there {
			out = append(out, objectapi.Object{Kind: o.Kind, Name: name, Version: o.Version + 1, Deleted: true})
		}
	}
	return out
}
