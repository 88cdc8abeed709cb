package routetable

import (
	"testing"

	"github.com/briarturn/briarturn/placement"
)

// Guards against callers that wait in an order on some deployments only, and against features under
// contention for services whose engines nothing is known of.
func TestFeatureFollowsSwitchAndEngineProfile(t *testing.T) {
	for _, c := range []struct {
		name   string
		engine *placement.EngineProfile
		s      Switch
		want   bool
	}{
		{"on", &placement.EngineProfile{}, SwitchOn, true},
		{"on, plain service", nil, SwitchOn, false},
		{"off", &placement.EngineProfile{}, SwitchOff, false},
		{"not set", &placement.EngineProfile{}, "", false},
	} {
		if got := (Features{}).Enabled(c.s, &Service{Name: "pool", Engine: c.engine}); got != c.want {
			t.Errorf("%s: enabled %v, want %v", c.name, got, c.want)
		}
	}
	if (Features{}).Enabled(SwitchOn, nil) {
		t.Error("enabled without a service")
	}
}
