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

// Guards against a bound on refusals that doesn't follow the deployment's bound on changes, or
// that exceeds the bound on removed keys.
func TestRefusalAgeFollowsChangeBound(t *testing.T) {
	for _, c := range []struct {
		changeBound, age time.Duration
		want             Reason
	}{
		{3 * time.Second, 3 * time.Second, ReasonNoRoute},
		{3 * time.Second, 3*time.Second + 1, ReasonUnconfirmedConfig},
		{3 * time.Second, DefaultKeyAge + 1, ReasonStaleConfig},
		{time.Hour, DefaultKeyAge, ReasonNoRoute},
		{time.Hour, DefaultKeyAge + 1, ReasonStaleConfig},
	} {
		options := Options{RefusalAge: c.changeBound}.withDefaults()
		if got := ReasonNoRoute.confirmed(c.age, options); got != c.want {
			t.Errorf("bound %v, age %v: %s, want %s", c.changeBound, c.age, got, c.want)
		}
	}
	if got := ReasonNoServer.confirmed(time.Hour, Options{}.withDefaults()); got != ReasonNoServer {
		t.Errorf("a refusal that doesn't follow from the configuration became %s", got)
	}
}
