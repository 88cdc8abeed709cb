//go:build review

package main

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Of the site dwa-rosters.
const (
	host          = "rosters.example"
	apiKey        = "k3yofatenantinhobart"
	tenant        = "tenant-1"
	confirmPath   = "/confirm/"
	declinePath   = "/decline/"
	streamPath    = "/stream/"
	longPath      = "/stream/long/"
	runsLogName   = "runs.log" // of all servers, in the temporary folder
	poolService   = "briar-pool"
	appService    = "roster-app"
	stabilityTime = 3 * time.Second
	// budgetTime is the time after which a gateway has its share of the retries, by docs/SETTINGS.md.
	budgetTime = 12 * time.Second
)

// configuration returns the operator's configuration, with the routes of the site dwa-rosters. Its
// tenant holds the keys, or apiKey if there are none.
func configuration(version int, keys ...string) map[string]any {
	if len(keys) == 0 {
		keys = []string{apiKey}
	}
	route := func(name, path, kind, service string, timeoutMS, targetMS, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "kind": kind, "service": service, "timeout_ms": timeoutMS,
			"target_latency_ms": targetMS, "priority": 1, "max_attempts": attempts, "public": false,
		}
	}
	stream := route("notice-draft", streamPath, "streaming", poolService, 10000, 300, 2)
	stream["resumable"], stream["session_affinity"], stream["gap_target_ms"] = true, true, 250
	review := route("conflict-review", longPath, "streaming", poolService, 15000, 3000, 2)
	review["resumable"], review["session_affinity"], review["gap_target_ms"] = true, true, 1000
	return map[string]any{
		"version": version,
		"routes": []any{
			stream,
			review,
			route("confirm-tap", confirmPath, "non_idempotent", appService, 800, 100, 1),
			route("decline-tap", declinePath, "idempotent", appService, 800, 100, 2),
		},
		"services": []any{
			map[string]any{
				"name": poolService, "health_path": "/health", "max_conns": 424, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"capacity": 16, "kv_tokens": 232000, "stride": 43, "chunk": 2048, "step_ms": 1.02, "per_seq_ms": 0.00226,
					"context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "hop_ms": 0.075,
					"models": []any{map[string]any{"name": "m"}}, "report_lag_ms": 200.0,
					"usual": map[string]any{"prompt": 12328, "answer": 1303},
				},
			},
			map[string]any{"name": appService, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": keys, "priority": 1}},
	}
}

// fleet is a small deployment: a store, servers and gateways.
type fleet struct {
	store    string
	gateways []*gateway
	engines  []*serverProcess
	apps     []*serverProcess
	runsLog  string
}

// serverProcess is a server with its address.
type serverProcess struct {
	*process
	id, address string
}

// fleetOptions are what a case changes of the deployment.
type fleetOptions struct {
	engines int
	apps    int
	// engineCommand is the stand-in of the engines, "server" if empty.
	engineCommand string
	engineArgs    []string
	gateway       gatewayOptions
	zones         []string // of the gateways
	storeArgs     []string
	keys          []string // of the tenant in the first configuration
}

// startFleet starts a deployment and returns once its gateways are ready.
func (r *run) startFleet(o fleetOptions) (*fleet, error) {
	f := &fleet{runsLog: filepath.Join(r.dir, runsLogName)}
	port, err := r.freePort()
	if err != nil {
		return nil, err
	}
	f.store = "127.0.0.1:" + strconv.Itoa(port)
	for i, zone := range o.zones {
		g, err := r.newGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone, f.store)
		if err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, g)
	}
	for i := range o.engines + o.apps {
		port, err := r.freePort()
		if err != nil {
			return nil, err
		}
		s := &serverProcess{address: "127.0.0.1:" + strconv.Itoa(port)}
		if i < o.engines {
			s.id = fmt.Sprintf("i-engine%d", i+1)
			f.engines = append(f.engines, s)
			continue
		}
		s.id = fmt.Sprintf("i-app%d", i-o.engines+1)
		f.apps = append(f.apps, s)
	}
	r.releasePorts()
	if _, err := r.startOwn("store", append([]string{"store", "-listen", f.store}, o.storeArgs...)...); err != nil {
		return nil, err
	}
	err = waitFor(5*time.Second, "store", func() bool {
		return call(http.MethodPost, "http://"+f.store+"/standin/config", configuration(1, o.keys...)) == nil
	})
	if err != nil {
		return nil, err
	}
	for _, s := range f.engines {
		if err := r.startServer(f, s, cmp.Or(o.engineCommand, "server"), poolService, o.engineArgs); err != nil {
			return nil, err
		}
	}
	for _, s := range f.apps {
		if err := r.startServer(f, s, "server", appService, nil); err != nil {
			return nil, err
		}
	}
	for _, g := range f.gateways {
		if err := r.startGateway(g, o.gateway); err != nil {
			return nil, err
		}
	}
	for _, g := range f.gateways {
		if err := waitFor(20*time.Second, g.name+" ready", g.isReady); err != nil {
			r.note("%s, process has ended: %v, its last lines: %s", g.name, g.ended(), r.lastLines(g.process, 2000))
			return nil, err
		}
	}
	r.note("%d gateways are ready", len(f.gateways))
	return f, nil
}

func (r *run) startServer(f *fleet, s *serverProcess, command, service string, extra []string) error {
	args := append([]string{command, "-listen", s.address, "-store", f.store, "-service", service, "-id", s.id, "-log", f.runsLog}, extra...)
	var err error
	s.process, err = r.startOwn(s.id, args...)
	return err
}

// runs returns what the servers have written of their runs.
func (f *fleet) runs() (string, error) {
	data, err := os.ReadFile(f.runsLog)
	return string(data), err
}

// byRuns returns the engines, first those that have begun most requests.
func (f *fleet) byRuns() []*serverProcess {
	runs, _ := f.runs() // without them each has begun none
	count := func(s *serverProcess) int { return strings.Count(runs, " "+s.id+" run ") }
	return slices.SortedFunc(slices.Values(f.engines), func(a, b *serverProcess) int { return cmp.Compare(count(b), count(a)) })
}
