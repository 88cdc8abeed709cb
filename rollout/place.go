package rollout

import (
	"cmp"
	"slices"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
)

// target is what an engine shall serve. An engine without a role is spare: it
// keeps what it has of the declared models.
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

// placement deals the replicas of a pool over its engines.
type placement struct {
	pool     *declared.ModelPool
	replicas []Replica
	targets  []target // by index of replicas
	missing  int      // replicas that found no engine
}

// want is a number of replicas of a model in a role.
type want struct {
	model *declared.Model
	role  backend.Role
	n     int
	zones map[string]int // dealt so far
}

// place decides which engine serves which model in which role. It is stable:
// engines that have what they were dealt are dealt it again, as long as the
// zones stay even. So it deals in two rounds. The first leaves replicas where
// they are, for all models, before the second finds places for the rest: a model
// that comes first would else be placed on the engines of those behind it.
func place(pool *declared.ModelPool, replicas []Replica) *placement {
	p := &placement{pool: pool, replicas: replicas, targets: make([]target, len(replicas))}
	wants := p.wants()
	for i := range wants {
		p.keep(&wants[i])
	}
	for i := range wants {
		p.fill(&wants[i])
	}
	return p
}

func (p *placement) wants() []want {
	var out []want
	for i := range p.pool.Models {
		m := &p.pool.Models[i]
		for _, w := range []want{
			{model: m, role: backend.RoleMixed, n: m.Replicas.Mixed},
			{model: m, role: backend.RolePrefill, n: m.Replicas.Prefill},
			{model: m, role: backend.RoleDecode, n: m.Replicas.Decode},
		} {
			w.zones = map[string]int{}
			out = append(out, w)
		}
	}
	return out
}

// keep deals replicas to engines that have the model and the role, and no other
// model. No zone gets more than an even share.
func (p *placement) keep(w *want) {
	zones := p.zoneCount()
	if zones == 0 {
		return
	}
	share, rest := w.n/zones, w.n%zones
	for w.n > 0 {
		best := p.best(w, func(i int) bool {
			r := &p.replicas[i]
			had := w.zones[r.Zone]
			return len(p.targets[i].models) == 0 && r.hasModel(w.model.Name) && r.Role == w.role &&
				(had < share || had == share && rest > 0)
		})
		if best < 0 {
			return
		}
		if w.zones[p.replicas[best].Zone] == share {
			rest--
		}
		p.deal(w, best)
	}
}

// fill deals the replicas that are left.
func (p *placement) fill(w *want) {
	for w.n > 0 {
		best := p.best(w, func(int) bool { return true })
		if best < 0 {
			p.missing += w.n
			return
		}
		p.deal(w, best)
	}
}

func (p *placement) deal(w *want, i int) {
	t := &p.targets[i]
	t.role = w.role
	t.models = append(t.models, w.model)
	w.zones[p.replicas[i].Zone]++
	w.n--
}

// best returns the best engine for one more replica, -1 if there is none.
func (p *placement) best(w *want, fits func(i int) bool) int {
	best := -1
	for i := range p.replicas {
		if p.free(i, w) && fits(i) && (best < 0 || p.better(i, best, w)) {
			best = i
		}
	}
	return best
}

// free tells whether an engine can take one more replica.
func (p *placement) free(i int, w *want) bool {
	t := &p.targets[i]
	if t.role != "" && t.role != w.role || t.model(w.model.Name) != nil {
		return false
	}
	return p.inZones(&p.replicas[i])
}

func (p *placement) inZones(r *Replica) bool {
	return len(p.pool.Zones) == 0 || slices.Contains(p.pool.Zones, r.Zone)
}

// zoneCount returns how many of the pool's zones have engines.
func (p *placement) zoneCount() int {
	seen := map[string]bool{}
	for i := range p.replicas {
		if r := &p.replicas[i]; p.inZones(r) {
			seen[r.Zone] = true
		}
	}
	return len(seen)
}

// better orders two engines for a replica: even zones first, then few models on
// one engine, then what needs the fewest orders.
func (p *placement) better(i, j int, w *want) bool {
	a, b := &p.replicas[i], &p.replicas[j]
	return cmp.Or(
		cmp.Compare(w.zones[a.Zone], w.zones[b.Zone]),
		cmp.Compare(len(p.targets[i].models), len(p.targets[j].models)),
		compareBool(a.hasModel(w.model.Name), b.hasModel(w.model.Name)),
		compareBool(a.Role == w.role, b.Role == w.role),
		compareBool(!a.Unresponsive, !b.Unresponsive),
		cmp.Compare(a.Name, b.Name),
	) < 0
}

// compareBool puts true first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
