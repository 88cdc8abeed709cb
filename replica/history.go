package replica

import (
	"github.com/briarturn/briarturn/objectapi"
)

const (
	// maxHistoryBatches and maxHistoryBytes bound the changes that are kept of a kind. A
	// peer that polls three times a second is one or two batches behind; a peer that was
	// away for longer receives the full state.
	maxHistoryBatches = 32
	maxHistoryBytes   = 64 << 10
)

// batch holds the changes of a kind from one revision of the object API to another. The
// events of a watch can also be applied to any state in between. The difference of two
// listings (netDiff) can't, because an object may have been created and deleted in between.
type batch struct {
	from, to uint64
	netDiff  bool
	changed  []objectapi.Object // deletions are tombstones
	bytes    int
}

// appliesTo reports whether the batch can be applied to the state of a revision.
func (b batch) appliesTo(revision uint64) bool {
	return revision == b.from || !b.netDiff && b.from < revision && revision < b.to
}

// history holds the newest changes of a kind, without a gap. Without it, a change of one
// server would make every entry fetch all servers.
type history struct {
	batches []batch
	bytes   int
}

// add appends a batch and drops the oldest batches that exceed the bounds.
func (h *history) add(b batch) {
	for _, o := range b.changed {
		b.bytes += len(o.Name) + len(o.Data)
	}
	h.batches = append(h.batches, b)
	h.bytes += b.bytes
	for len(h.batches) > maxHistoryBatches || h.bytes > maxHistoryBytes && len(h.batches) > 0 {
		h.bytes -= h.batches[0].bytes
		h.batches = h.batches[1:]
	}
}

// changesSince returns the changes after a revision; ok is false if the history doesn't
// contain all of them.
func (h *history) changesSince(revision uint64) (changed []objectapi.Object, ok bool) {
	for _, b := range h.batches {
		if !ok && !b.appliesTo(revision) {
			continue
		}
		changed = append(changed, b.changed...)
		ok = true
	}
	return changed, ok
}

// diffStates returns the changes between two states, with deletions as tombstones.
func diffStates(before, after map[string]objectapi.Object) []objectapi.Object {
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
