package rollout

import (
	"cmp"
	"slices"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
)

// target is the role and the models that an engine is assigned. An engine without
// a role is a spare: it keeps the weights that it has of declared versions.
type target struct {
	role   backend.Role
	models []*declared.Model
}

func (t *target) model(name string) *declared.Model {
	for _, m := range t.models {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// placement assigns the replicas of a pool to its engines.
type placement struct {
	pool     *declared.ModelPool
	replicas []Replica
	targets  []target // indexed like replicas
	unplaced int      // replicas for which there is no engine
}

// demand is the number of replicas of a model that are needed in a role.
type demand struct {
	model     *declared.Model
	role      backend.Role
	remaining int
	perZone   map[string]int // replicas assigned so far
}

// place decides which engine serves which model in which role. It is stable:
// engines that already have a replica keep it as long as the zones stay even.
// Replicas are assigned in two passes. The first pass keeps replicas of all models
// where they are, and the second pass places the remaining ones. In a single pass
// the first model would be placed on engines that serve later models.
func place(pool *declared.ModelPool, replicas []Replica) *placement {
	p := &placement{pool: pool, replicas: replicas, targets: make([]target, len(replicas))}
	wants := p.demands()
	for i := range wants {
		p.keepInPlace(&wants[i])
	}
	for i := range wants {
		p.placeRemaining(&wants[i])
	}
	return p
}

func (p *placement) demands() []demand {
	var out []demand
	for i := range p.pool.Models {
		m := &p.pool.Models[i]
		for _, w := range []demand{
			{model: m, role: backend.RoleMixed, remaining: m.Replicas.Mixed},
			{model: m, role: backend.RolePrefill, remaining: m.Replicas.Prefill},
			{model: m, role: backend.RoleDecode, remaining: m.Replicas.Decode},
		} {
			w.perZone = map[string]int{}
			out = append(out, w)
		}
	}
	return out
}

// keepInPlace assigns replicas to engines that already have the model and the role
// and are assigned no other model. No zone gets more than an even share.
func (p *placement) keepInPlace(w *demand) {
	zones := p.zoneCount()
	if zones == 0 {
		return
	}
	share, rest := w.remaining/zones, w.remaining%zones
	for w.remaining > 0 {
		best := p.bestEngine(w, func(i int) bool {
			r := &p.replicas[i]
			had := w.perZone[r.Zone]
			return len(p.targets[i].models) == 0 && r.hasModel(w.model.Name) && r.Role == w.role &&
				(had < share || had == share && rest > 0)
		})
		if best < 0 {
			return
		}
		if w.perZone[p.replicas[best].Zone] == share {
			rest--
		}
		p.assign(w, best)
	}
}

// placeRemaining assigns the replicas that keepInPlace did not assign.
func (p *placement) placeRemaining(w *demand) {
	for w.remaining > 0 {
		best := p.bestEngine(w, func(int) bool { return true })
		if best < 0 {
			p.unplaced += w.remaining
			return
		}
		p.assign(w, best)
	}
}

func (p *placement) assign(w *demand, i int) {
	t := &p.targets[i]
	t.role = w.role
	t.models = append(t.models, w.model)
	w.perZone[p.replicas[i].Zone]++
	w.remaining--
}

// bestEngine returns the index of the best engine for one more replica, or -1 if
// there is none.
func (p *placement) bestEngine(w *demand, fits func(i int) bool) int {
	best := -1
	for i := range p.replicas {
		if p.canHost(i, w) && fits(i) && (best < 0 || p.better(i, best, w)) {
			best = i
		}
	}
	return best
}

// canHost reports whether engine i can take one more replica of the demand.
func (p *placement) canHost(i int, w *demand) bool {
	t := &p.targets[i]
	if t.role != "" && t.role != w.role || t.model(w.model.Name) != nil {
		return false
	}
	return p.inZones(&p.replicas[i])
}

func (p *placement) inZones(r *Replica) bool {
	return len(p.pool.Zones) == 0 || slices.Contains(p.pool.Zones, r.Zone)
}

// zoneCount returns the number of the pool's zones that have engines.
func (p *placement) zoneCount() int {
	seen := map[string]bool{}
	for i := range p.replicas {
		if r := &p.replicas[i]; p.inZones(r) {
			seen[r.Zone] = true
		}
	}
	return len(seen)
}

// better reports whether engine i is preferred to engine j for a replica: first by
// even zones, then by the fewest models on the engine, then by the fewest orders
// that the assignment needs.
func (p *placement) better(i, j int, w *demand) bool {
	a, b := &p.replicas[i], &p.replicas[j]
	return cmp.Or(
		cmp.Compare(w.perZone[a.Zone], w.perZone[b.Zone]),
		cmp.Compare(len(p.targets[i].models), len(p.targets[j].models)),
		compareTrueFirst(a.hasModel(w.model.Name), b.hasModel(w.model.Name)),
		compareTrueFirst(a.Role == w.role, b.Role == w.role),
		compareTrueFirst(!a.Unresponsive, !b.Unresponsive),
		cmp.Compare(a.Name, b.Name),
	) < 0
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
