package rollout

import (
	"cmp"
	"slices"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
)

// DefaultMinServing is the fraction of a model's replicas with an engine that keep
// serving while others are replaced.
const DefaultMinServing = 0.75

// PlanResult is the result of Plan.
type PlanResult struct {
	Actions  []Action      // orders to start now
	Models   []ModelStatus // in the order of the ModelPool
	Outdated int           // engines that differ from their target
	Unplaced int           // replicas without an engine
	Loading  int           // engines that are loading from the weight store
}

// ModelStatus counts the replicas of a model.
type ModelStatus struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"` // replicas that serve any version in any role
	Current int    `json:"current"` // replicas that serve the declared version on their assigned engine, in its role
}

// Plan returns the orders that may start now to bring the engines closer to the
// declared pool. minServing is a fraction from 0 to 1.
func Plan(pool *declared.ModelPool, replicas []Replica, minServing float64) PlanResult {
	p := &planner{placement: place(pool, replicas), loadSlots: pool.MaxWeightLoads, mayStop: map[string]int{}}
	for i := range replicas {
		if replicas[i].Loading != "" {
			p.loadSlots--
			p.result.Loading++
		}
	}
	p.result.Unplaced = p.unplaced
	for i := range pool.Models {
		p.countModel(&pool.Models[i], minServing)
	}
	p.proposeSteps()
	p.selectSteps()
	return p.result
}

// planner holds the state of one call of Plan.
type planner struct {
	*placement
	loadSlots  int            // free slots for loads from the weight store
	mayStop    map[string]int // by model, replicas that may stop serving now
	candidates []engineSteps
	result     PlanResult
}

// engineSteps are the possible next steps of one engine in order of preference. At
// most one of them is selected.
type engineSteps []step

type step struct {
	Action
	interrupts   []string // models that the engine does not serve during the step
	servingRatio float64  // fraction of the model's wanted replicas that serve; the lowest is selected first
}

// countModel adds the status of a model and computes how many of its replicas may
// stop serving.
func (p *planner) countModel(m *declared.Model, minServing float64) {
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
		if r.servesVersion(m.Name, m.Version) && r.Role == t.role {
			s.Current++
		}
	}
	// At least one may stop. Otherwise a model with few replicas could never change.
	stop := max(1, int(float64(placed)*(1-minServing)))
	p.mayStop[m.Name] = s.Serving - (placed - stop)
	p.result.Models = append(p.result.Models, s)
}

// proposeSteps finds the next steps of each engine.
func (p *planner) proposeSteps() {
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
		p.candidates = append(p.candidates, steps)
	}
}

// steps returns the possible next steps of an engine, or none if it matches its
// target. Unloads come before loads of new weights, since these may need the
// memory. If the first steps are not allowed at the current capacity, a later one
// may restore it.
func (p *planner) steps(r *Replica, t *target) engineSteps {
	out := p.unloads(r, t)
	extra := len(out) > 0
	if t.role != "" && r.Role != t.role {
		out = append(out, step{Action: Action{Verb: VerbSetRole, Role: t.role}, interrupts: p.servedModels(r)})
	}
	for _, m := range t.models {
		if !r.servesVersion(m.Name, m.Version) && (!extra || r.hasModel(m.Name)) {
			out = append(out, p.loadStep(r, m))
		}
	}
	for _, m := range t.models {
		// An adapter is loaded only on an engine that has its model.
		if extra || !r.hasModel(m.Name) {
			continue
		}
		for i := range m.Adapters {
			if a := &m.Adapters[i]; !r.servesVersion(a.Name, a.Version) {
				out = append(out, step{
					Action:       Action{Verb: VerbLoad, Model: m.Name, Adapter: a.Name, Version: a.Version, Source: a.Source},
					servingRatio: 1,
				})
			}
		}
	}
	return out
}

// unloads returns steps that unload the weights that an engine must not keep,
// adapters before models.
func (p *planner) unloads(r *Replica, t *target) engineSteps {
	extra := slices.DeleteFunc(slices.Clone(r.Weights), func(w backend.Weights) bool { return p.shouldKeep(t, w) })
	slices.SortFunc(extra, func(a, b backend.Weights) int {
		return cmp.Or(compareTrueFirst(a.Adapter, b.Adapter), cmp.Compare(a.Name, b.Name))
	})
	var out engineSteps
	for _, w := range extra {
		s := step{Action: Action{Verb: VerbUnload, Model: w.Name}}
		if w.Adapter {
			s.Action = Action{Verb: VerbUnload, Adapter: w.Name}
		} else if p.declares(w.Name) && r.serves(w.Name) {
			s.interrupts = []string{w.Name}
		}
		out = append(out, s)
	}
	return out
}

// shouldKeep reports whether an engine keeps the weights w. A spare engine keeps
// weights of declared versions: it is the first engine to be assigned a model when
// another engine fails.
func (p *planner) shouldKeep(t *target, w backend.Weights) bool {
	if t.role == "" {
		return p.isDeclaredVersion(w)
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

// isDeclaredVersion reports whether the pool declares w in the version it has.
func (p *planner) isDeclaredVersion(w backend.Weights) bool {
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

func (p *planner) servedModels(r *Replica) []string {
	var out []string
	for i := range p.pool.Models {
		if name := p.pool.Models[i].Name; r.serves(name) {
			out = append(out, name)
		}
	}
	return out
}

func (p *planner) loadStep(r *Replica, m *declared.Model) step {
	s := step{Action: Action{Verb: VerbLoad, Model: m.Name, Version: m.Version, Source: m.Source}}
	if r.serves(m.Name) {
		s.interrupts = []string{m.Name}
	}
	for _, status := range p.result.Models {
		if status.Name == m.Name && status.Wanted > 0 {
			s.servingRatio = float64(status.Serving) / float64(status.Wanted)
		}
	}
	return s
}

// selectSteps selects at most one step for each engine, as far as load slots and
// mayStop allow. Models with the lowest serving ratio come first.
func (p *planner) selectSteps() {
	slices.SortStableFunc(p.candidates, func(a, b engineSteps) int {
		return cmp.Or(
			cmp.Compare(a[0].servingRatio, b[0].servingRatio),
			cmp.Compare(len(a[0].interrupts), len(b[0].interrupts)),
			cmp.Compare(a[0].Server, b[0].Server),
		)
	})
	roles := p.countRoles()
	for len(p.candidates) > 0 {
		i := p.nextEngine(roles)
		steps := p.candidates[i]
		p.candidates = slices.Delete(p.candidates, i, i+1)
		if j := slices.IndexFunc(steps, p.allowed); j >= 0 {
			p.accept(&steps[j], roles)
		}
	}
}

// nextEngine returns the index of the next engine to consider. This is the first
// one, unless its step changes its role. In this case it is the engine whose new
// role has the fewest engines: a pool that is split into prefill and decode needs
// both.
func (p *planner) nextEngine(roles map[backend.Role]int) int {
	if p.candidates[0][0].Verb != VerbSetRole {
		return 0
	}
	best := 0
	for i, steps := range p.candidates {
		if steps[0].Verb == VerbSetRole && roles[steps[0].Role] < roles[p.candidates[best][0].Role] {
			best = i
		}
	}
	return best
}

// countRoles counts the engines of each role.
func (p *planner) countRoles() map[backend.Role]int {
	out := map[backend.Role]int{}
	for i := range p.replicas {
		out[p.replicas[i].Role]++
	}
	return out
}

func (p *planner) allowed(s step) bool {
	if s.Verb == VerbLoad && p.loadSlots <= 0 {
		return false
	}
	return !slices.ContainsFunc(s.interrupts, func(model string) bool { return p.mayStop[model] <= 0 })
}

func (p *planner) accept(s *step, roles map[backend.Role]int) {
	for _, model := range s.interrupts {
		p.mayStop[model]--
	}
	switch s.Verb {
	case VerbLoad:
		p.loadSlots--
	case VerbSetRole:
		roles[s.Role]++
	}
	p.result.Actions = append(p.result.Actions, s.Action)
}
