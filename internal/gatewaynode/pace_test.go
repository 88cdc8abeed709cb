package gatewaynode

import (
	"testing"
	"time"
)

// Guards against relying on readers for longer than a change may take, and against limits
// that the state exceeds without a fault, so that every entry reads the store.
func TestPaceFollowsFromBound(t *testing.T) {
	for _, within := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, time.Hour} {
		config, servers := configPace(within), serversPace(within)
		for _, p := range []pace{config, servers} {
			if p.maxAge+directReadTime > within {
				t.Errorf("within %v: state up to %v old is relied on", within, p.maxAge)
			}
		}
		if 2*config.wait+pullSlack > config.maxAge || servers.wait+pullSlack > servers.maxAge {
			t.Errorf("within %v: %+v and %+v are exceeded without a fault", within, config, servers)
		}
		configAge, serversAge := 2*config.wait+config.responseTimeout+relistTime, servers.wait+servers.responseTimeout+relistTime
		if configAge > config.maxAge || serversAge > servers.maxAge {
			t.Errorf("within %v: a watch without a response makes the state older than %+v, %+v", within, config, servers)
		}
		if config.responseTimeout < relistTime || servers.responseTimeout < relistTime {
			t.Errorf("within %v: no time to respond: %+v, %+v", within, config, servers)
		}
	}
	want := pace{wait: maxConfigWait, maxAge: maxConfigPullAge, responseTimeout: pullAgeSlack - relistTime}
	if got := configPace(time.Hour); got != want {
		t.Errorf("without a short bound: %+v", got)
	}
}
