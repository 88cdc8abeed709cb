package objectapi

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// DefaultHistory is how many events a Memory keeps for watches.
const DefaultHistory = 4096

// Config sets up a Memory. The zero value is usable.
type Config struct {
	History int    // events kept for watches; DefaultHistory if 0
	Seed    uint64 // of the probability of lost answers
}

type objectKey struct{ kind, name string }

// Memory is an in-memory objectapi.Store. Make it with NewMemory.
type Memory struct {
	keep int

	mu       sync.Mutex // guards everything below
	era      uint64     // number of restores
	revision uint64
	live     map[objectKey]objectapi.Object
	history  []objectapi.Object // oldest first, deletions as tombstones
	floor    uint64             // revision of the newest event that was dropped
	changed  chan struct{}      // closed and replaced at a write or a change of faults
	rnd      *rand.Rand
	faults   Faults
	limits   limits
	counts   Counts
	heldVMs  []vmChange // changes of the VM list that wait for it to thaw
}

var _ objectapi.Store = (*Memory)(nil)

// NewMemory returns an empty store without faults, at revision 0.
func NewMemory(c Config) *Memory {
	if c.History <= 0 {
		c.History = DefaultHistory
	}
	return &Memory{
		keep:    c.History,
		live:    map[objectKey]objectapi.Object{},
		changed: make(chan struct{}),
		rnd:     rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
}

// Revision returns the revision of the newest write.
func (m *Memory) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revisionLocked()
}

func (m *Memory) revisionLocked() uint64 { return objectapi.JoinRevision(m.era, m.revision) }

// withEraLocked returns an object as its readers see it, with the era in its version.
func (m *Memory) withEraLocked(o objectapi.Object) objectapi.Object {
	o.Version = objectapi.JoinRevision(m.era, o.Version)
	return o
}

// Get implements objectapi.Store.
func (m *Memory) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if err := m.beginRead(ctx, callGet); err != nil {
		return objectapi.Object{}, errors.Annotatef(err, "step get %s/%s", kind, name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.live[objectKey{kind, name}]
	if !ok {
		return objectapi.Object{}, errors.Annotatef(objectapi.ErrNotFound, "step get %s/%s", kind, name)
	}
	return m.withEraLocked(o), nil
}

// List implements objectapi.Store. Objects come by name.
func (m *Memory) List(ctx context.Context, kind, prefix string) (objectapi.Listing, error) {
	if err := m.beginRead(ctx, callList); err != nil {
		return objectapi.Listing{}, errors.Annotatef(err, "step list %s", kind)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out := objectapi.Listing{Revision: m.revisionLocked()}
	for k, o := range m.live {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			out.Objects = append(out.Objects, m.withEraLocked(o))
		}
	}
	sort.Slice(out.Objects, func(i, j int) bool { return out.Objects[i].Name < out.Objects[j].Name })
	return out, nil
}

// Create implements objectapi.Store.
func (m *Memory) Create(ctx context.Context, kind, name string, data json.RawMessage) (objectapi.Object, error) {
	key := objectKey{kind, name}
	return m.write(ctx, callCreate, key, data, func() error {
		if _, ok := m.live[key]; ok {
			return objectapi.ErrExists
		}
		return nil
	})
}

// Update implements objectapi.Store.
func (m *Memory) Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (objectapi.Object, error) {
	key := objectKey{kind, name}
	return m.write(ctx, callUpdate, key, data, func() error { return m.matchLocked(key, version) })
}

// Delete implements objectapi.Store. It returns the tombstone.
func (m *Memory) Delete(ctx context.Context, kind, name string, version uint64) (objectapi.Object, error) {
	key := objectKey{kind, name}
	return m.write(ctx, callDelete, key, nil, func() error { return m.matchLocked(key, version) })
}

func (m *Memory) matchLocked(key objectKey, version uint64) error {
	o, ok := m.live[key]
	switch {
	case !ok:
		return objectapi.ErrNotFound
	case m.withEraLocked(o).Version != version:
		return objectapi.ErrConflict
	}
	return nil
}

// write runs one conditional write under the faults in force. A caller whose
// time ends during the latency can't know whether the write took effect, so
// either happens here, by the seeded coin.
func (m *Memory) write(ctx context.Context, c call, key objectKey, data json.RawMessage, condition func() error) (objectapi.Object, error) {
	if len(data) > objectapi.MaxValueBytes {
		return objectapi.Object{}, errors.Annotatef(objectapi.ErrTooLarge, "step %s %s/%s", c, key.kind, key.name)
	}
	late, err := m.beginWrite(ctx, c)
	if err != nil {
		return objectapi.Object{}, errors.Annotatef(err, "step %s %s/%s", c, key.kind, key.name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if late && m.rnd.IntN(2) == 0 {
		return objectapi.Object{}, errors.Annotatef(objectapi.ErrOutcomeUnknown, "step %s %s/%s", c, key.kind, key.name)
	}
	if err := condition(); err != nil && !late {
		return objectapi.Object{}, errors.Annotatef(err, "step %s %s/%s", c, key.kind, key.name)
	} else if err != nil {
		return objectapi.Object{}, errors.Annotatef(objectapi.ErrOutcomeUnknown, "step %s %s/%s", c, key.kind, key.name)
	}
	o := m.commitLocked(key, data, c == callDelete)
	if late || m.loseAnswerLocked() {
		return objectapi.Object{}, errors.Annotatef(objectapi.ErrOutcomeUnknown, "step %s %s/%s", c, key.kind, key.name)
	}
	return m.withEraLocked(o), nil
}

// commitLocked gives the change the next revision and wakes the watches.
func (m *Memory) commitLocked(key objectKey, data json.RawMessage, deleted bool) objectapi.Object {
	m.revision++
	o := objectapi.Object{Kind: key.kind, Name: key.name, Version: m.revision, Deleted: deleted}
	if deleted {
		delete(m.live, key)
	} else {
		o.Data = append(json.RawMessage(nil), data...)
		m.live[key] = o
	}
	m.history = append(m.history, o)
	if len(m.history) > m.keep {
		m.floor = m.history[0].Version
		m.history = m.history[1:]
	}
	m.wakeLocked()
	return o
}

func (m *Memory) wakeLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}
