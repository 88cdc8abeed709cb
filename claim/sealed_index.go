package claim

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"maps"
	"slices"
	"sync"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// indexHash is the first half of a key's hash, because an hour of claims has to
// fit into a node's memory. If two keys of a shard share it, one of them gets a
// false Unknown; at a thousand claims per second the chance is one in millions
// per hour.
type indexHash [hashBytes / 2]byte

// sealedKey is one key of a sealed object.
type sealedKey struct {
	hash   indexHash
	object uint16 // index in sealedIndex.objects
}

// compareKeys orders by hash and then newest record first, because the outcome
// of an issued key may have been added twice.
func compareKeys(a, b sealedKey) int {
	if c := bytes.Compare(a.hash[:], b.hash[:]); c != 0 {
		return c
	}
	return cmp.Compare(b.object, a.object)
}

// sealedIndex is the in-memory index of a sealed object and of those folded
// into it. It is immutable.
type sealedIndex struct {
	objects []string // oldest first
	keys    []sealedKey
}

// newSealedIndex builds the index of an object from its claims and the indexes
// of the objects folded into it, oldest first.
func newSealedIndex(name string, s *shard, folded []*sealedIndex) (*sealedIndex, error) {
	x := &sealedIndex{}
	for _, f := range folded {
		for _, k := range f.keys {
			k.object += uint16(len(x.objects))
			x.keys = append(x.keys, k)
		}
		x.objects = append(x.objects, f.objects...)
	}
	for hash := range s.Claims {
		h, err := decodeHash(hash)
		if err != nil {
			return nil, errors.Annotatef(err, "step index sealed claims %s", name)
		}
		x.keys = append(x.keys, sealedKey{hash: h, object: uint16(len(x.objects))})
	}
	x.objects = append(x.objects, name)
	slices.SortFunc(x.keys, compareKeys)
	return x, nil
}

// find returns the object that holds a key's record.
func (x *sealedIndex) find(h indexHash) (string, bool) {
	i, _ := slices.BinarySearchFunc(x.keys, sealedKey{hash: h, object: ^uint16(0)}, compareKeys)
	if i == len(x.keys) || x.keys[i].hash != h {
		return "", false
	}
	return x.objects[x.keys[i].object], true
}

func decodeHash(hash string) (h indexHash, err error) {
	raw, err := base64.RawURLEncoding.DecodeString(hash)
	if err != nil || len(raw) != hashBytes {
		return h, errors.NotValidf("hash %q", hash)
	}
	return indexHash(raw[:len(h)]), nil
}

// sealedView holds the indexes for one read of a shard, oldest first. A group
// looks keys up in the view of the read that its write is based on. A cache
// that another read has updated could lack an object, and its keys would be
// granted again.
type sealedView []*sealedIndex

// find returns the newest object that holds a record of the key.
func (v sealedView) find(hash string) (string, bool) {
	h, err := decodeHash(hash)
	if err != nil {
		return "", false
	}
	for _, x := range slices.Backward(v) {
		if name, ok := x.find(h); ok {
			return name, true
		}
	}
	return "", false
}

// indexCache caches the indexes of one shard's sealed objects. The objects are
// immutable, so each is read once.
type indexCache struct {
	mu      sync.Mutex // guards indexes
	indexes map[string]*sealedIndex
}

func newIndexCache() *indexCache { return &indexCache{indexes: map[string]*sealedIndex{}} }

func (d *indexCache) get(name string) *sealedIndex {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.indexes[name]
}

func (d *indexCache) put(name string, x *sealedIndex) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indexes[name] = x
}

// maxSealedReads limits the concurrent reads of sealed objects by an entry that
// takes over a shard.
const maxSealedReads = 8

// loadView returns the view of refs and reads the objects that are not cached.
// If it fails, the objects read so far stay cached. An object that no longer
// exists had expired, so the read of the shard was outdated: the error is
// ErrConflict, and the shard is read again.
func (d *indexCache) loadView(ctx context.Context, c *Claimer, refs []sealedRef) (sealedView, error) {
	var readers sync.WaitGroup
	free := make(chan struct{}, maxSealedReads)
	view := make(sealedView, len(refs))
	failed := make([]error, len(refs))
	for i, ref := range refs {
		if view[i] = d.get(ref.Name); view[i] != nil {
			continue
		}
		free <- struct{}{}
		readers.Go(func() {
			view[i], failed[i] = d.loadIndex(ctx, c, ref.Name)
			<-free
		})
	}
	readers.Wait()
	for _, err := range failed {
		if err != nil {
			return nil, err
		}
	}
	d.retain(refs)
	return view, nil
}

// loadIndex reads and indexes a sealed object and those folded into it.
func (d *indexCache) loadIndex(ctx context.Context, c *Claimer, name string) (*sealedIndex, error) {
	if x := d.get(name); x != nil {
		return x, nil
	}
	c.counters.storeReads.Inc(1)
	s, err := readSealed(ctx, c.cfg.Store, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, errors.Annotatef(objectapi.ErrConflict, "step read sealed claims %s", name)
	}
	if err != nil {
		return nil, err
	}
	var folded []*sealedIndex
	for _, ref := range s.Sealed {
		x, err := d.loadIndex(ctx, c, ref.Name)
		if err != nil {
			return nil, err
		}
		folded = append(folded, x)
	}
	x, err := newSealedIndex(name, s, folded)
	if err == nil {
		d.put(name, x)
	}
	return x, err
}

// retain drops the indexes of objects that refs does not contain.
func (d *indexCache) retain(refs []sealedRef) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.indexes, func(name string, _ *sealedIndex) bool {
		return !slices.ContainsFunc(refs, func(r sealedRef) bool { return r.Name == name })
	})
}

func readSealed(ctx context.Context, store objectapi.Store, name string) (*shard, error) {
	obj, err := store.Get(ctx, Kind, name)
	if err != nil {
		return nil, errors.Annotatef(err, "step read sealed claims %s", name)
	}
	return decodeShard(obj.Data)
}
