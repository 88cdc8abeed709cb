package claim

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// sealedRef refers to an immutable object that holds settled claims of a shard.
// This keeps the shard itself small, because every write carries all of it.
type sealedRef struct {
	Name       string `json:"n"`
	NewestUnix int64  `json:"t"` // Unix seconds of its newest record
	// HasFolded means that the object holds references to older objects, which
	// the shard then does not need. Without folding, the references to an hour
	// of sealed objects would fill the shard.
	HasFolded bool `json:"f,omitempty"`
}

// defaultFoldThreshold is the number of references to objects without folded
// ones at which they are folded.
const defaultFoldThreshold = 64

// takeSettled removes from the shard, and returns, the claims that will not
// change any more: settled claims, and running ones past MaxRunTime, which are
// Unknown.
func (s *shard) takeSettled(now time.Time, runLimit time.Duration) *shard {
	out := &shard{Claims: map[string]keyRecord{}}
	for hash, e := range s.Claims {
		if e.prior(now, runLimit).State == Running {
			continue
		}
		out.Claims[hash] = e
		delete(s.Claims, hash)
	}
	return out
}

func (s *shard) newestUnix() int64 {
	newest := int64(0)
	for _, ref := range s.Sealed {
		newest = max(newest, ref.NewestUnix)
	}
	for _, e := range s.Claims {
		newest = max(newest, e.UpdatedUnix)
	}
	return newest
}

// refBytes is the approximate size of a reference in a shard's value.
const refBytes = 46

// randomID returns 64 random bits as text.
func randomID() string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return base64.RawURLEncoding.EncodeToString(b[:])
}

const randomIDBytes = 8

// sealDue reports whether the settled claims of a shard of this size should be
// sealed. The more references a shard has, the larger the next sealed object
// is: if the references alone could exceed the threshold, each write would seal
// a handful of claims and add another reference.
func (g *group) sealDue(s *shard, bytes int) bool {
	refs := len(s.Sealed) * refBytes
	return bytes-refs > max(g.claimer.cfg.SealThreshold, refs)
}

// seal moves the settled claims of a shard into a new object, unless most of
// the shard's claims are running. The object is written first and is in use
// once the shard's own write, which follows, has taken effect. If that write
// fails, plan.newSealed names the unused object to delete.
func (g *group) seal(ctx context.Context, s *shard, p *plan) error {
	now := g.claimer.now()
	settled := s.takeSettled(now, g.claimer.cfg.MaxRunTime)
	if len(settled.Claims) < len(s.Claims) {
		maps.Copy(s.Claims, settled.Claims)
		return nil
	}
	settled.fold(s, g.claimer.cfg.foldThreshold)
	data, err := json.Marshal(settled)
	if err == nil {
		data, err = compress(data)
	}
	if err != nil {
		return errors.Annotatef(err, "step encode sealed claims, shard %s", g.name)
	}
	name := g.name + "." + randomID()
	g.claimer.counters.storeWrites.Inc(1)
	obj, err := g.claimer.cfg.Store.Create(ctx, Kind, name, data)
	if err != nil {
		// This includes a lost response: nothing refers to the object, so it has
		// no effect even if it was written, and the group fails with the
		// store's error.
		return errors.Annotatef(objectapi.ErrUnavailable, "step write sealed claims %s: %v", name, err)
	}
	g.claimer.counters.sealed.Inc(1)
	s.Sealed = append(s.Sealed, sealedRef{Name: name, NewestUnix: settled.newestUnix(), HasFolded: len(settled.Sealed) > 0})
	p.newSealed = obj
	return g.indexSealed(p, name, settled)
}

// fold moves the shard's references into the object to be sealed once there are
// at least threshold of them. References to objects that hold folded ones stay in
// the shard, so that each object is at most two references away from the shard
// and expires in time.
func (s *shard) fold(source *shard, threshold int) {
	folds := func(r sealedRef) bool { return r.HasFolded }
	plain := slices.DeleteFunc(slices.Clone(source.Sealed), folds)
	if len(plain) < threshold {
		return
	}
	s.Sealed = plain
	source.Sealed = slices.DeleteFunc(source.Sealed, func(r sealedRef) bool { return !r.HasFolded })
}

// indexSealed caches the index of an object that this entry sealed.
func (g *group) indexSealed(p *plan, name string, settled *shard) error {
	var folded []*sealedIndex
	for _, x := range p.view {
		own := x.objects[len(x.objects)-1]
		if slices.ContainsFunc(settled.Sealed, func(r sealedRef) bool { return r.Name == own }) {
			folded = append(folded, x)
		}
	}
	x, err := newSealedIndex(name, settled, folded)
	if err == nil {
		g.sealed.put(name, x)
	}
	return err
}

// dropExpired removes references to objects whose records are all past the
// retention. The objects are deleted once the shard's write has taken effect.
func (g *group) dropExpired(s *shard, p *plan) {
	s.expireWithdrawn(g.claimer.now())
	oldest := g.claimer.now().Add(-g.claimer.cfg.Retention).Unix()
	s.Sealed = slices.DeleteFunc(s.Sealed, func(r sealedRef) bool {
		if r.NewestUnix >= oldest {
			return false
		}
		p.expiredSealed = append(p.expiredSealed, r.Name)
		return true
	})
}

// deleteExpired deletes sealed objects, best effort: an object that remains
// only takes space. No claim waits for it.
func (g *group) deleteExpired(names []string) {
	ctx, cancel := context.WithTimeout(context.Background(), deleteTimeout)
	defer cancel()
	for _, name := range names {
		g.claimer.counters.storeReads.Inc(1)
		obj, err := g.claimer.cfg.Store.Get(ctx, Kind, name)
		if err != nil {
			continue
		}
		if s, err := decodeShard(obj.Data); err == nil {
			for _, ref := range s.Sealed {
				g.deleteSealed(ctx, ref.Name)
			}
		}
		g.claimer.counters.storeWrites.Inc(1)
		_, _ = g.claimer.cfg.Store.Delete(ctx, Kind, name, obj.Version)
	}
}

// deleteTimeout limits one call of deleteExpired.
const deleteTimeout = 30 * time.Second

func (g *group) deleteSealed(ctx context.Context, name string) {
	g.claimer.counters.storeReads.Inc(1)
	obj, err := g.claimer.cfg.Store.Get(ctx, Kind, name)
	if err == nil {
		g.claimer.counters.storeWrites.Inc(1)
		_, _ = g.claimer.cfg.Store.Delete(ctx, Kind, name, obj.Version)
	}
}

// deleteOrphan deletes a new sealed object whose shard write certainly failed.
func (g *group) deleteOrphan(ctx context.Context, p *plan) {
	if p.newSealed.Name != "" {
		g.claimer.counters.storeWrites.Inc(1)
		_, _ = g.claimer.cfg.Store.Delete(ctx, Kind, p.newSealed.Name, p.newSealed.Version)
	}
}
