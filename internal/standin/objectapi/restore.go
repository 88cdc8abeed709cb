package objectapi

import (
	"maps"

	"github.com/briarturn/briarturn/objectapi"
)

// Copy is a copy of the content of a Memory at one moment.
type Copy struct {
	revision uint64
	live     map[objectKey]objectapi.Object
}

// Copy returns a copy to restore later.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{revision: m.revision, live: maps.Clone(m.live)}
}

// Restore replaces the content by an older copy. What was written since is lost, and its
// revisions are given out again; the era rises by one. The history of events begins anew.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.live = c.revision, maps.Clone(c.live)
	m.history, m.floor = nil, c.revision
	m.wakeLocked()
}

// Era returns the number of restores.
func (m *Memory) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}
