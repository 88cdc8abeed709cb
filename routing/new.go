package routing

import (
	"github.com/juju/errors"
)

// Names of the policies, as settings give them.
const (
	PolicyCost       = "cost"        // the default: lowest expected time to first token
	PolicyRoundRobin = "round-robin" // baseline
	PolicyLeastLoad  = "least-load"  // baseline
)

// ErrUnknownPolicy is returned by New. Test with errors.Is.
const ErrUnknownPolicy = errors.ConstError("unknown routing policy")

// Options configures New. The baselines use none of it.
type Options struct {
	Costs    *CostModel   // nil: a model that knows only descriptors
	Prefixes *PrefixIndex // nil: no cache affinity
}

// New returns the policy of a name; an empty name means PolicyCost.
func New(name string, opts Options) (Policy, error) {
	switch name {
	case PolicyCost, "":
		return newCostPolicy(opts), nil
	case PolicyRoundRobin:
		return &roundRobin{}, nil
	case PolicyLeastLoad:
		return leastLoad{}, nil
	}
	return nil, errors.Annotatef(ErrUnknownPolicy, "step choose policy, name %q", name)
}
