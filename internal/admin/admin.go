// Package admin implements the HTTP admin interface of a process: health,
// readiness, status, drain, metrics and service-level counts. It contains the
// handler, the client and the types that both share.
//
// Endpoints:
//   - GET /healthz returns 200 whenever the process can respond.
//   - GET /readyz returns 200, or 503 with the reason; load balancers poll it.
//   - GET /status and /slo return JSON and have no side effects.
//   - GET /metrics returns the Prometheus text format.
//   - POST /drain is idempotent: a repeated call reports the drain's progress.
//   - POST /parts/release ends the refusal of a part of prompts and is idempotent.
//   - /debug/pprof/ is served only if Config.Pprof is set.
//   - Endpoints that a process does not provide return 404.
package admin

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/slo"
)

// Errors returned by Client. Test with errors.Is.
const (
	// ErrUnavailable reports that the process could not be reached, did not send
	// a complete response, or responded with 503.
	ErrUnavailable = errors.ConstError("admin interface unavailable")
	// ErrUnknownName reports that the process has no component of that name.
	// The client returns it for every 404 response.
	ErrUnknownName = errors.ConstError("name not known")
)

// ServerStatus is the state of a backend server as seen by one process.
type ServerStatus struct {
	Name           string `json:"name"`
	Zone           string `json:"zone"`
	Pool           string `json:"pool"`
	State          string `json:"state"`  // live, suspect, leaving or dead; in a gateway live, cold or evacuated
	Direct         bool   `json:"direct"` // the server reports its load directly to this process
	Draining       bool   `json:"draining"`
	ConfigRevision uint64 `json:"config_revision"` // last known revision in force at the server
	Running        int64  `json:"running"`
	Waiting        int64  `json:"waiting"`
	UsedTokens     int64  `json:"used_tokens"`
	HeldTokens     int64  `json:"held_tokens"`
	CapacityTokens int64  `json:"capacity_tokens"`
	LoadAgeMS      int64  `json:"load_age_ms"`
	// Lost is set if a gateway sends the server no requests because evidence says that it doesn't serve.
	Lost *LostServer `json:"lost,omitempty"`
	// Slowdown is the ratio of the server's actual times to its declared ones as a gateway takes
	// them; 0 if the server counts as running at its declared speed.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// LostServer is the evidence that a server doesn't serve.
type LostServer struct {
	Evidence string   `json:"evidence"` // the newest: refused, reset or silent
	Entries  []string `json:"entries"`  // who say so
	AgeMS    int64    `json:"age_ms"`   // of the newest
}

// Status is the state of one process.
type Status struct {
	Name           string         `json:"name"`
	Role           string         `json:"role"` // entry, agent or gateway
	Zone           string         `json:"zone"`
	Ready          bool           `json:"ready"`
	Draining       bool           `json:"draining"`
	ConfigRevision uint64         `json:"config_revision"` // in force
	Queued         int64          `json:"queued"`
	Running        int64          `json:"running"`
	Servers        []ServerStatus `json:"servers"`
	// EvacuatedZones lists the availability zones whose evacuation is in force in this process.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// ZonesAgeMS is the time in milliseconds since EvacuatedZones was last known to be
	// current. Only gateways set it.
	ZonesAgeMS int64 `json:"zones_age_ms,omitempty"`
	// Waiting lists what waits for room on servers, by service, class and workspace. Only gateways
	// set it.
	Waiting []WaitingRequests `json:"waiting_requests,omitempty"`
	// SuspectParts lists the parts of prompts that are held or refused. Only gateways set it.
	SuspectParts []SuspectPart `json:"suspect_parts,omitempty"`
}

// WaitingRequests is what waits of one workspace for room on the servers of a service.
type WaitingRequests struct {
	Service   string `json:"service"`
	Class     string `json:"class"` // range of the prompts' lengths
	Workspace string `json:"workspace"`
	Requests  int    `json:"requests"`
	Late      int    `json:"late"`      // of these, requests that can't be on time any more
	OldestMS  int64  `json:"oldest_ms"` // how long the first of them has waited
}

// SuspectPart is a part of prompts, or several that only came together, under which servers
// died.
type SuspectPart struct {
	Service string   `json:"service"`
	Model   string   `json:"model"`
	Parts   []string `json:"parts"`   // IDs, hexadecimal
	Refused bool     `json:"refused"` // false: requests run one at a time
	Since   string   `json:"since"`   // of the first death, RFC 3339
	Last    string   `json:"last"`    // of the last death
	RetryAt string   `json:"retry_at,omitempty"`
	Deaths  []string `json:"deaths"` // field death of the log lines about servers of broken attempts
}

// PartRelease is the body of POST /parts/release.
type PartRelease struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Part    string `json:"part"` // ID, hexadecimal
}

// PartReleaser ends the refusal of a part of prompts at all processes. It returns ErrUnknownName if
// the part is neither held nor refused.
type PartReleaser interface {
	ReleasePart(r PartRelease) error
}

// DrainRequest is the body of POST /drain. Name is the name of the process or of
// a backend server that it can drain; if empty, the process itself drains.
type DrainRequest struct {
	Name string `json:"name,omitempty"`
}

// DrainState is the progress of a drain. The drain is complete when Running is 0.
type DrainState struct {
	Name     string `json:"name"`
	Draining bool   `json:"draining"`
	Running  int64  `json:"running"`
}

// StatusProvider returns the state of the process.
type StatusProvider interface {
	Status() Status
}

// ReadyProvider reports whether the process accepts work. Ready returns nil if it
// does, and otherwise the reason.
type ReadyProvider interface {
	Ready() error
}

// Drainer starts a drain, or continues one that is in progress, and returns its
// state. It returns ErrUnknownName for a name that it can't drain.
type Drainer interface {
	Drain(ctx context.Context, name string) (DrainState, error)
}

// SLOProvider returns the service-level counts of the process.
type SLOProvider interface {
	Snapshot(now time.Time) slo.Snapshot
}
