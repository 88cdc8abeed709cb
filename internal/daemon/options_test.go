package daemon

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/config"
	"github.com/briarturn/briarturn/settings"
)

// Guards against a deployment's bound on changes that doesn't reach the gateway.
func TestRefusalAgeIsTheBoundOnChanges(t *testing.T) {
	g := &settings.Gateway{ConfigWithin: config.Duration(3 * time.Second)}
	if got := gatewayOptions(g).RefusalAge; got != 3*time.Second {
		t.Errorf("RefusalAge %v, want 3s", got)
	}
}
