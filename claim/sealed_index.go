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

// indexHash is the first half of a key's hash, for an hour of claims has to fit
// a node's memory. Two keys of a shard that share it, one chance in millions an
// hour at a thousand claims a second, cost one of them a false "unknown".
type indexHash [hashBytes / 2]byte

// sealedKey is one key of a sealed object.
type sealedKey struct {
	hash   indexHash
	object uint16 // in sealedIndex.objects
}

// compareKeys orders by hash, and the newest record first: an issued key's
// outcome may have been added twice.
func compareKeys(a, b sealedKey) int {
	if c := bytes.Compare(a.hash[:], b.hash[:]); c != 0 {
		return c
	}
	return cmp.Compare(b.object, a.object)
}

// sealedIndex is what an entry keeps of a sealed object and those folded into
// it. It never changes.
type sealedIndex struct {
	objects []string // oldest first
	keys    []sealedKey
}

// newSealedIndex indexes an object and the indexes of those folded into it,
// oldest first.
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

// sealedView is the indexes of one reading of a shard, oldest first. A group
// looks keys up in the view of the reading that it writes on: in a cache that
// another reading brought up to date, an object could be missing, and its keys
// would be granted again.
type sealedView []*sealedIndex

// find returns the object that holds a key's record, newest first.
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

// sealedSet caches the indexes of one shard's sealed objects. They never
// change, so each is read once.
type sealedSet struct {
	mu      sync.Mutex // guards indexes
	indexes map[string]*sealedIndex
}

func newSealedSet() *sealedSet { return &sealedSet{indexes: map[string]*sealedIndex{}} }

func (d *sealedSet) get(name string) *sealedIndex {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.indexes[name]
}

func (d *sealedSet) put(name string, x *sealedIndex) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indexes[name] = x
}

// sealedReaders is how many reads of sealed objects an entry that takes a shard
// over has on their way at once.
const sealedReaders = 8

// load returns the view of refs, reading what it lacks. What was read stays
// cached if it fails. An object that is gone had expired, so the reading of the
// shard was old: ErrConflict, read the shard again.
func (d *sealedSet) load(ctx context.Context, c *Claimer, refs []sealedRef) (sealedView, error) {
	var readers sync.WaitGroup
	free := make(chan struct{}, sealedReaders)
	view := make(sealedView, len(refs))
	failed := make([]error, len(refs))
	for i, ref := range refs {
		if view[i] = d.get(ref.Name); view[i] != nil {
			continue
		}
		free <- struct{}{}
		readers.Go(func() {
			view[i], failed[i] = d.read(ctx, c, ref.Name)
			<-free
		})
	}
	readers.Wait()
	for _, err := range failed {
		if err != nil {
			return nil, err
		}
	}
	d.keep(refs)
	return view, nil
}

// read indexes a sealed object and those folded into it.
func (d *sealedSet) read(ctx context.Context, c *Claimer, name string) (*sealedIndex, error) {
	if x := d.get(name); x != nil {
		return x, nil
	}
	c.m.reads.Inc(1)
	s, err := readSealed(ctx, c.cfg.Store, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, errors.Annotatef(objectapi.ErrConflict, "step read sealed claims %s", name)
	}
	if err != nil {
		return nil, err
	}
	var folded []*sealedIndex
	for _, ref := range s.Sealed {
		x, err := d.read(ctx, c, ref.Name)
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

// keep forgets what is no longer referred to.
func (d *sealedSet) keep(refs []sealedRef) {
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
