package routing

import (
	"github.com/juju/errors"
)

// Names of the policies, as in the settings.
const (
	PolicyCost       = "cost"        // the default: lowest expected time to first token
	PolicyRoundRobin = "round-robin" // baseline
	PolicyLeastLoad  = "least-load"  // baseline
)

// ErrUnknownPolicy is returned by New for a name that is not a policy. Test with errors.Is.
const ErrUnknownPolicy = errors.ConstError("unknown routing policy")

// Options configures New. The baseline policies ignore it.
type Options struct {
	Costs    *CostModel   // nil: a model without measurements
	Prefixes *PrefixIndex // nil: no cache affinity
}

// New returns the policy with the given name; an empty name means PolicyCost.
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
