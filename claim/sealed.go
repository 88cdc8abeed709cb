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

// sealedRef names an object that holds settled claims of a shard and never
// changes. The shard itself stays small, for every write carries all of it.
type sealedRef struct {
	Name   string `json:"n"`
	Newest int64  `json:"t"` // Unix seconds of its newest record
	// Folds others: the object refers to older ones, which the shard then needs
	// not. Without that, references to an hour of sealed objects would fill it.
	Folds bool `json:"f,omitempty"`
}

// defaultFoldRefs is how many objects that fold none a shard refers to.
const defaultFoldRefs = 64

// split takes out of the shard what will not change any more: settled claims,
// and running ones past the limit of a request, which are unknown.
func (s *shard) split(now time.Time, runLimit time.Duration) *shard {
	out := &shard{Claims: map[string]entry{}}
	for hash, e := range s.Claims {
		if e.prior(now, runLimit).State == Running {
			continue
		}
		out.Claims[hash] = e
		delete(s.Claims, hash)
	}
	return out
}

func (s *shard) newest() int64 {
	newest := int64(0)
	for _, ref := range s.Sealed {
		newest = max(newest, ref.Newest)
	}
	for _, e := range s.Claims {
		newest = max(newest, e.At)
	}
	return newest
}

// refBytes is about what a reference takes in a shard's value.
const refBytes = 46

// shortName is 64 random bits.
func shortName() string {
	var b [shortNameBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return base64.RawURLEncoding.EncodeToString(b[:])
}

const shortNameBytes = 8

// sealDue reports whether a value of this size should shed its settled claims.
// The more references a shard has, the larger the next sealed object is: if the
// references alone could pass the threshold, each write would seal a handful of
// claims and add another reference.
func (g *group) sealDue(s *shard, bytes int) bool {
	refs := len(s.Sealed) * refBytes
	return bytes-refs > max(g.c.cfg.SealThreshold, refs)
}

// seal moves settled claims of a shard that is due into an object of their own,
// unless most of its claims are running. The object is written first; the shard's own write, which
// follows, makes it count. If that write fails, the object is of no use and
// plan.orphan tells to delete it.
func (g *group) seal(ctx context.Context, s *shard, p *plan) error {
	now := g.c.now()
	settled := s.split(now, g.c.cfg.MaxRunTime)
	if len(settled.Claims) < len(s.Claims) {
		maps.Copy(s.Claims, settled.Claims)
		return nil
	}
	settled.fold(s, g.c.cfg.foldRefs)
	data, err := json.Marshal(settled)
	if err == nil {
		data, err = pack(data)
	}
	if err != nil {
		return errors.Annotatef(err, "step encode sealed claims, shard %s", g.name)
	}
	name := g.name + "." + shortName()
	g.c.m.writes.Inc(1)
	obj, err := g.c.cfg.Store.Create(ctx, Kind, name, data)
	if err != nil {
		// Also when its answer was lost: nothing refers to it, so it is as
		// good as never written, and the group is answered by the store's error.
		return errors.Annotatef(objectapi.ErrUnavailable, "step write sealed claims %s: %v", name, err)
	}
	g.c.m.sealed.Inc(1)
	s.Sealed = append(s.Sealed, sealedRef{Name: name, Newest: settled.newest(), Folds: len(settled.Sealed) > 0})
	p.orphan = obj
	return g.indexSealed(p, name, settled)
}

// fold moves the shard's references into the object to be sealed, once there
// are most of them. References to objects that fold others stay, so that
// each object is two steps from the shard and expires in its time.
func (s *shard) fold(from *shard, most int) {
	folds := func(r sealedRef) bool { return r.Folds }
	plain := slices.DeleteFunc(slices.Clone(from.Sealed), folds)
	if len(plain) < most {
		return
	}
	s.Sealed = plain
	from.Sealed = slices.DeleteFunc(from.Sealed, func(r sealedRef) bool { return !r.Folds })
}

// indexSealed caches the index of an object that was sealed here.
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

// dropExpired takes references out whose records are all past the retention.
// The objects are deleted once the shard's write has landed.
func (g *group) dropExpired(s *shard, p *plan) {
	s.expireWithdrawn(g.c.now())
	oldest := g.c.now().Add(-g.c.cfg.Retention).Unix()
	s.Sealed = slices.DeleteFunc(s.Sealed, func(r sealedRef) bool {
		if r.Newest >= oldest {
			return false
		}
		p.expired = append(p.expired, r.Name)
		return true
	})
}

// deleteExpired is best effort: an object that stays costs space only. No claim
// waits for it.
func (g *group) deleteExpired(names []string) {
	ctx, cancel := context.WithTimeout(context.Background(), deleteTime)
	defer cancel()
	for _, name := range names {
		g.c.m.reads.Inc(1)
		obj, err := g.c.cfg.Store.Get(ctx, Kind, name)
		if err != nil {
			continue
		}
		if s, err := decodeShard(obj.Data); err == nil {
			for _, ref := range s.Sealed {
				g.deleteSealed(ctx, ref.Name)
			}
		}
		g.c.m.writes.Inc(1)
		_, _ = g.c.cfg.Store.Delete(ctx, Kind, name, obj.Version)
	}
}

// deleteTime bounds the deletion of what expired at one time.
const deleteTime = 30 * time.Second

func (g *group) deleteSealed(ctx context.Context, name string) {
	g.c.m.reads.Inc(1)
	obj, err := g.c.cfg.Store.Get(ctx, Kind, name)
	if err == nil {
		g.c.m.writes.Inc(1)
		_, _ = g.c.cfg.Store.Delete(ctx, Kind, name, obj.Version)
	}
}

// deleteOrphan removes a sealed object whose shard write certainly failed.
func (g *group) deleteOrphan(ctx context.Context, p *plan) {
	if p.orphan.Name != "" {
		g.c.m.writes.Inc(1)
		_, _ = g.c.cfg.Store.Delete(ctx, Kind, p.orphan.Name, p.orphan.Version)
	}
}
