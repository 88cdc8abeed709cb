package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against refusing a request for what the configuration lacks although a change that adds
// it may be in force already.
func TestRefusalsNeedAConfirmedConfiguration(t *testing.T) {
	const changeBound = 2 * time.Second // time within which a change must be in force
	for _, c := range []struct {
		name, path, body string
		headers          []string
		status           int
	}{
		{"no route", "/nowhere/", "", nil, http.StatusNotFound},
		{"unknown key", "/keyed/", "", []string{hKey, "other"}, http.StatusUnauthorized},
		{"long body", "/safe/", strings.Repeat("x", 64<<10+1), nil, http.StatusRequestEntityTooLarge},
		{"long header", "/safe/", "", []string{"X-Long", strings.Repeat("x", 8<<10)}, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			gw := newTestGateway(t, respondWith("ok")).withSampleConfig()
			*gw.clock = gw.clock.Add(changeBound)
			r, _, err := gw.send(http.MethodPost, c.path, c.body, c.headers...)
			wantStatus(t, r, err, c.status)
			*gw.clock = gw.clock.Add(time.Millisecond)
			r, body, err := gw.send(http.MethodPost, c.path, c.body, c.headers...)
			wantStatus(t, r, err, http.StatusServiceUnavailable)
			if !strings.Contains(body, `"run":"not_run"`) || r.Header.Get("Retry-After") == "" {
				t.Errorf("Retry-After %q, body %s", r.Header.Get("Retry-After"), body)
			}
			gw.routes.MarkCurrent(*gw.clock)
			r, _, err = gw.send(http.MethodPost, c.path, c.body, c.headers...)
			wantStatus(t, r, err, c.status)
			gw.wantArrivals("")
		})
	}
}
