package routetable

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/placement"
)

// Guards against features under contention that change how a deployment is served whose
// configuration doesn't call for them.
func TestFeatureFollowsMixedObjectives(t *testing.T) {
	features := Features{Queue: SwitchAuto, MixedObjectives: DefaultMixedObjectives}
	for _, c := range []struct {
		name    string
		longest time.Duration
		engine  *placement.EngineProfile
		s       Switch
		want    bool
	}{
		{"similar objectives", 3 * time.Second, &placement.EngineProfile{}, SwitchAuto, false},
		{"mixed objectives", 4 * time.Second, &placement.EngineProfile{}, SwitchAuto, true},
		{"plain service", 4 * time.Second, nil, SwitchAuto, false},
		{"plain service, on", 4 * time.Second, nil, SwitchOn, false},
		{"similar objectives, on", 3 * time.Second, &placement.EngineProfile{}, SwitchOn, true},
		{"mixed objectives, off", 4 * time.Second, &placement.EngineProfile{}, SwitchOff, false},
	} {
		target := []Target{{Service: "pool", Weight: 1}}
		table := New(Config{
			Services: []Service{{Name: "pool", Engine: c.engine}},
			Routes: []Route{
				{Name: "short", Kind: Stream, Objective: 300 * time.Millisecond, Targets: target},
				{Name: "long", Kind: Stream, Objective: c.longest, Targets: target},
				{Name: "call", Kind: Idempotent, Objective: time.Millisecond, Targets: target},
			},
		})
		service, _ := table.Service("pool")
		if got := features.Enabled(c.s, service); got != c.want {
			t.Errorf("%s: enabled %v, want %v (ratio %.1f)", c.name, got, c.want, service.ObjectiveRatio)
		}
	}
}
