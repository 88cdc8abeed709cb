package rollout

import (
	"cmp"
	"slices"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
)

// DefaultMinServing is the share of the wanted replicas of a model that goes on
// serving while others are replaced.
const DefaultMinServing = 0.75

// PlanResult is what Plan found.
type PlanResult struct {
	Actions  []Action      // to begin now
	Models   []ModelStatus // in the order of the ModelPool
	Outdated int           // engines that are not yet as they shall be
	Unplaced int           // replicas without an engine
	Loading  int           // engines that load from the weight store
}

// ModelStatus counts the replicas of a model.
type ModelStatus struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"` // in any version and role
	Current int    `json:"current"` // where and as they shall be
}

// Plan returns the orders that may begin now, which bring the engines nearer to
// what the pool declares. minServing is a share from 0 to 1.
func Plan(pool *declared.ModelPool, replicas []Replica, minServing float64) PlanResult {
	p := &planner{placement: place(pool, replicas), slots: pool.MaxWeightLoads, stoppable: map[string]int{}}
	for i := range replicas {
		if replicas[i].Loading != "" {
			p.slots--
			p.result.Loading++
		}
	}
	p.result.Unplaced = p.missing
	for i := range pool.Models {
		p.count(&pool.Models[i], minServing)
	}
	p.propose()
	p.choose()
	return p.result
}

// planner holds one run of Plan.
type planner struct {
	*placement
	slots     int            // free places at the weight store
	stoppable map[string]int // replicas of each model that may stop serving now
	engines   []engineSteps
	result    PlanResult
}

// engineSteps are the steps that one engine may take next, the preferred first.
// One of them is chosen at most.
type engineSteps []step

type step struct {
	Action
	stops []string // models that the engine stops serving meanwhile
	need  float64  // share of its model's replicas that serve; the least goes first
}

// count fills in a model's status and how many of its replicas may stop.
func (p *planner) count(m *declared.Model, minServing float64) {
	s := ModelStatus{Name: m.Name, Version: m.Version, Wanted: m.Replicas.Total()}
	placed := 0
	for i := range p.replicas {
		r, t := &p.replicas[i], &p.targets[i]
		if r.serves(m.Name) {
			s.Serving++
		}
		if t.model(m.Name) == nil {
			continue
		}
		placed++
		if r.current(m.Name, m.Version) && r.Role == t.role {
			s.Current++
		}
	}
	// At least one may stop: a model with few replicas could never change.
	stop := max(1, int(float64(placed)*(1-minServing)))
	p.stoppable[m.Name] = s.Serving - (placed - stop)
	p.result.Models = append(p.result.Models, s)
}

// propose finds the next steps of each engine.
func (p *planner) propose() {
	for i := range p.replicas {
		r := &p.replicas[i]
		steps := p.steps(r, &p.targets[i])
		if len(steps) == 0 {
			continue
		}
		p.result.Outdated++
		if r.Busy || r.Unresponsive || r.Loading != "" {
			continue
		}
		for j := range steps {
			steps[j].Server, steps[j].Address = r.Name, r.Address
		}
		p.engines = append(p.engines, steps)
	}
}

// steps returns what an engine may do next; none if it is as it shall be. What
// has to go goes before anything new comes, since the room may be needed. Where
// capacity forbids the first steps, a later one may be what gives it back.
func (p *planner) steps(r *Replica, t *target) engineSteps {
	out := p.unloads(r, t)
	extra := len(out) > 0
	if t.role != "" && r.Role != t.role {
		out = append(out, step{Action: Action{Verb: VerbSetRole, Role: t.role}, stops: p.modelsServed(r)})
	}
	for _, m := range t.models {
		if !r.current(m.Name, m.Version) && (!extra || r.hasModel(m.Name)) {
			out = append(out, p.loadModel(r, m))
		}
	}
	for _, m := range t.models {
		// An adapter is loaded beside its model.
		if extra || !r.hasModel(m.Name) {
			continue
		}
		for i := range m.Adapters {
			if a := &m.Adapters[i]; !r.current(a.Name, a.Version) {
				out = append(out, step{
					Action: Action{Verb: VerbLoad, Model: m.Name, Adapter: a.Name, Version: a.Version, Source: a.Source},
					need:   1,
				})
			}
		}
	}
	return out
}

// unloads returns the unloading of weights that an engine shall not have,
// adapters before models.
func (p *planner) unloads(r *Replica, t *target) engineSteps {
	extra := slices.DeleteFunc(slices.Clone(r.Weights), func(w backend.Weights) bool { return p.wanted(t, w) })
	slices.SortFunc(extra, func(a, b backend.Weights) int {
		return cmp.Or(compareBool(a.Adapter, b.Adapter), cmp.Compare(a.Name, b.Name))
	})
	var out engineSteps
	for _, w := range extra {
		s := step{Action: Action{Verb: VerbUnload, Model: w.Name}}
		if w.Adapter {
			s.Action = Action{Verb: VerbUnload, Adapter: w.Name}
		} else if p.declares(w.Name) && r.serves(w.Name) {
			s.stops = []string{w.Name}
		}
		out = append(out, s)
	}
	return out
}

// wanted tells whether an engine shall keep weights. A spare engine keeps what
// it has of the declared versions: it is the first to be dealt a model when
// another engine fails.
func (p *planner) wanted(t *target, w backend.Weights) bool {
	if t.role == "" {
		return p.declaredNow(w)
	}
	for _, m := range t.models {
		if m.Name == w.Name && !w.Adapter {
			return true
		}
		if w.Adapter && slices.ContainsFunc(m.Adapters, func(a declared.Adapter) bool { return a.Name == w.Name }) {
			return true
		}
	}
	return false
}

// declaredNow tells whether the pool declares weights in the version they have.
func (p *planner) declaredNow(w backend.Weights) bool {
	for _, m := range p.pool.Models {
		if m.Name == w.Name && !w.Adapter {
			return w.Version == backend.VersionKey(m.Version)
		}
		for _, a := range m.Adapters {
			if a.Name == w.Name && w.Adapter {
				return w.Version == backend.VersionKey(a.Version)
			}
		}
	}
	return false
}

func (p *planner) declares(model string) bool {
	return slices.ContainsFunc(p.pool.Models, func(m declared.Model) bool { return m.Name == model })
}

func (p *planner) modelsServed(r *Replica) []string {
	var out []string
	for i := range p.pool.Models {
		if name := p.pool.Models[i].Name; r.serves(name) {
			out = append(out, name)
		}
	}
	return out
}

func (p *planner) loadModel(r *Replica, m *declared.Model) step {
	s := step{Action: Action{Verb: VerbLoad, Model: m.Name, Version: m.Version, Source: m.Source}}
	if r.serves(m.Name) {
		s.stops = []string{m.Name}
	}
	for _, status := range p.result.Models {
		if status.Name == m.Name && status.Wanted > 0 {
			s.need = float64(status.Serving) / float64(status.Wanted)
		}
	}
	return s
}

// choose takes a step for each engine, as slots and capacity allow, the most
// needed first.
func (p *planner) choose() {
	slices.SortStableFunc(p.engines, func(a, b engineSteps) int {
		return cmp.Or(
			cmp.Compare(a[0].need, b[0].need),
			cmp.Compare(len(a[0].stops), len(b[0].stops)),
			cmp.Compare(a[0].Server, b[0].Server),
		)
	})
	roles := p.rolesFilled()
	for len(p.engines) > 0 {
		i := p.pick(roles)
		steps := p.engines[i]
		p.engines = slices.Delete(p.engines, i, i+1)
		if j := slices.IndexFunc(steps, p.allowed); j >= 0 {
			p.take(&steps[j], roles)
		}
	}
}

// pick returns the first engine, or where that is to change its role, the engine
// whose new role is the least filled: a pool that splits into prefill and decode
// needs both.
func (p *planner) pick(roles map[backend.Role]int) int {
	if p.engines[0][0].Verb != VerbSetRole {
		return 0
	}
	best := 0
	for i, steps := range p.engines {
		if steps[0].Verb == VerbSetRole && roles[steps[0].Role] < roles[p.engines[best][0].Role] {
			best = i
		}
	}
	return best
}

// rolesFilled counts the engines of each role.
func (p *planner) rolesFilled() map[backend.Role]int {
	out := map[backend.Role]int{}
	for i := range p.replicas {
		out[p.replicas[i].Role]++
	}
	return out
}

func (p *planner) allowed(s step) bool {
	if s.Verb == VerbLoad && p.slots <= 0 {
		return false
	}
	return !slices.ContainsFunc(s.stops, func(model string) bool { return p.stoppable[model] <= 0 })
}

func (p *planner) take(s *step, roles map[backend.Role]int) {
	for _, model := range s.stops {
		p.stoppable[model]--
	}
	switch s.Verb {
	case VerbLoad:
		p.slots--
	case VerbSetRole:
		roles[s.Role]++
	}
	p.result.Actions = append(p.result.Actions, s.Action)
}
