//go:build review

package main

import (
	"errors"
	"time"
)

var errNotServed = errors.New("a request before the disruption was not served")

// slotsOf returns how many requests an engine of a service runs at once, as in dwa-rosters.
func slotsOf(service string) int {
	if service == "roster-app" {
		return 6
	}
	return 16
}

// key is the API key of the one tenant.
const key = "n2ctnfzs989anu6wsjnb"

// configuration returns the operator's configuration of a version: a route of plain
// requests that may run once, with the timeout_ms of confirm-tap in dwa-rosters-large, and
// one of streams that may be resumed.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "roster.example", "path_prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": timeout, "target_latency_ms": target, "priority": 1, "max_attempts": attempts, "public": false,
		}
	}
	stream := route("r-draft", "/draft/", "streaming", "briar-pool", 10000, 300, 2)
	stream["resumable"], stream["gap_target_ms"] = true, 250
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-commit", "/commit/", "non_idempotent", "roster-app", 2000, 120, 1),
			stream,
		},
		"services": []any{
			map[string]any{"name": "roster-app", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": "briar-pool", "health_path": "/health", "max_conns": 424, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}}},
	}
}

// request returns the headers of a new request whose work takes so many ms, or that streams
// so many events.
func request(workMS, events string) map[string]string {
	h := map[string]string{"X-Attempt-Id": newID(), "X-Api-Key": key}
	if workMS != "" {
		h["Work-Ms"] = workMS
	}
	if events != "" {
		h["Work-Events"] = events
	}
	return h
}

// heartbeats renews the entries of the engines each 1,200 ms until the returned function
// is called.
func heartbeats(s *store, engines []*engine) func() {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				for _, e := range engines {
					e.beat(s)
				}
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}
