package dev

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/node"
	"github.com/briarturn/briarturn/objectapi"
)

// cutStore is one process's way to the object API. A process that was killed
// writes nothing more, but its goroutines live on here; cut makes their later
// calls fail.
type cutStore struct {
	objectapi.Store
	cut atomic.Bool
}

// errDead: a call of a process that was killed.
const errDead = errors.ConstError("process is dead")

func (s *cutStore) check() error {
	if s.cut.Load() {
		return errDead
	}
	return nil
}

// Get implements objectapi.Store.
func (s *cutStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if err := s.check(); err != nil {
		return objectapi.Object{}, err
	}
	return s.Store.Get(ctx, kind, name)
}

// Create implements objectapi.Store.
func (s *cutStore) Create(ctx context.Context, kind, name string, data json.RawMessage) (objectapi.Object, error) {
	if err := s.check(); err != nil {
		return objectapi.Object{}, err
	}
	return s.Store.Create(ctx, kind, name, data)
}

// Update implements objectapi.Store.
func (s *cutStore) Update(ctx context.Context, kind, name string, data json.RawMessage, version uint64) (objectapi.Object, error) {
	if err := s.check(); err != nil {
		return objectapi.Object{}, err
	}
	return s.Store.Update(ctx, kind, name, data, version)
}

// Delete implements objectapi.Store.
func (s *cutStore) Delete(ctx context.Context, kind, name string, version uint64) (objectapi.Object, error) {
	if err := s.check(); err != nil {
		return objectapi.Object{}, err
	}
	return s.Store.Delete(ctx, kind, name, version)
}

// LiveEntries returns the entries that were not killed.
func (f *Fleet) LiveEntries() []*node.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*node.Entry
	for i, n := range f.Entries {
		if !f.down[i] {
			out = append(out, n)
		}
	}
	return out
}

// LiveAgent returns the agent of a backend server, nil if it was killed.
func (f *Fleet) LiveAgent(b *Backend) *node.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return b.Agent
}

// KillEntry ends entry i as the death of its process would. It reports whether
// the entry was alive.
func (f *Fleet) KillEntry(i int) bool {
	n := f.takeDown(i)
	if n == nil {
		return false
	}
	f.mu.Lock()
	store := f.stores[i]
	f.mu.Unlock()
	store.cut.Store(true)
	n.Kill()
	return true
}

// takeDown marks entry i as down and returns it, or nil if it was down.
func (f *Fleet) takeDown(i int) *node.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[i] {
		return nil
	}
	f.down[i] = true
	return f.Entries[i]
}

// RestartEntry starts a killed entry on its old addresses, as a supervisor does
// on the same VM.
func (f *Fleet) RestartEntry(i int) error {
	f.mu.Lock()
	old := f.Entries[i]
	f.mu.Unlock()
	at := f.placeOf(old)
	at.rpc, at.datagram = old.RPCAddress(), old.DatagramAddress()
	return f.revive(i, at)
}

// ReplaceEntry drains entry i, ends it and starts another in its place: the
// balancer's address stays, all others are new, as on a new VM.
func (f *Fleet) ReplaceEntry(ctx context.Context, i int) error {
	old := f.takeDown(i)
	if old == nil {
		return errors.NotFoundf("live entry %d", i)
	}
	if err := old.DrainAndWait(ctx); err != nil {
		return errors.Annotatef(err, "step replace entry %d", i)
	}
	at := f.placeOf(old)
	old.Close()
	return f.revive(i, at)
}

func (f *Fleet) placeOf(n *node.Entry) entryPlace {
	s := n.Status()
	return entryPlace{name: s.Name, zone: s.Zone, http: n.Address(), rpc: f.loopback, datagram: f.loopback}
}

// bindRetry and bindTries bound the wait for a port that the kernel still holds.
const (
	bindRetry = 20 * time.Millisecond
	bindTries = 100
)

func (f *Fleet) revive(i int, at entryPlace) error {
	var e startedEntry
	var err error
	for range bindTries {
		if e, err = f.startEntry(at, f.seeds()); err == nil {
			break
		}
		time.Sleep(bindRetry)
	}
	if err != nil {
		return errors.Annotatef(err, "step restart entry %s", at.name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Entries[i], f.Metrics[i], f.stores[i] = e.node, e.metrics, e.store
	delete(f.down, i)
	return nil
}

// KillAgent ends the agent of a backend server as the death of its process would;
// the engine or service goes on. It reports whether there was one.
func (f *Fleet) KillAgent(b *Backend) bool {
	f.mu.Lock()
	a, store := b.Agent, b.store
	b.Agent = nil
	f.mu.Unlock()
	if a == nil {
		return false
	}
	store.cut.Store(true)
	a.Close()
	return true
}

// ReplaceAgent drains the agent of a backend server, ends it and starts another.
func (f *Fleet) ReplaceAgent(ctx context.Context, b *Backend) error {
	a := f.LiveAgent(b)
	if a == nil {
		return errors.NotFoundf("live agent of %s", b.Name)
	}
	if err := a.DrainAndWait(ctx); err != nil {
		return errors.Trace(err)
	}
	f.KillAgent(b)
	return f.StartAgent(b)
}
