// Package admin is the operators' HTTP interface of a process: health,
// readiness, status, drain, metrics and service-level counts. It holds the
// handler, the client and the types that both share.
//
// Rules:
//   - GET /healthz answers 200 as long as the process answers at all.
//   - GET /readyz answers 200 or 503 with the reason; the balancer reads it.
//   - GET /status and /slo answer JSON and change nothing.
//   - GET /metrics answers the text format of metrics scrapers.
//   - POST /drain is idempotent: asked again, it tells how far the drain is.
//   - What a process does not provide answers 404.
//   - /debug/pprof/ is served only where Config.Pprof says so.
package admin

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/slo"
)

// Errors of the client. Test with errors.Is.
const (
	// ErrUnavailable: the process could not be reached, or did not answer.
	ErrUnavailable = errors.ConstError("admin interface unavailable")
	// ErrUnknownName: the process knows nothing of that name.
	ErrUnknownName = errors.ConstError("name not known")
)

// ServerStatus is what a process knows of a backend server.
type ServerStatus struct {
	Name           string `json:"name"`
	Zone           string `json:"zone"`
	Pool           string `json:"pool"`
	State          string `json:"state"`  // live, suspect, leaving, dead; of a gateway live, cold, evacuated
	Direct         bool   `json:"direct"` // it reports to this process itself
	Draining       bool   `json:"draining"`
	ConfigRevision uint64 `json:"config_revision"` // in force there, as far as known
	Running        int64  `json:"running"`
	Waiting        int64  `json:"waiting"`
	UsedTokens     int64  `json:"used_tokens"`
	HeldTokens     int64  `json:"held_tokens"`
	CapacityTokens int64  `json:"capacity_tokens"`
	LoadAgeMS      int64  `json:"load_age_ms"`
}

// Status is the state of one process.
type Status struct {
	Name           string   `json:"name"`
	Role           string   `json:"role"` // entry, agent or gateway
	Zone           string   `json:"zone"`
	Ready          bool     `json:"ready"`
	Draining       bool     `json:"draining"`
	ConfigRevision uint64   `json:"config_revision"` // in force
	Queued         int64    `json:"queued"`
	Running        int64    `json:"running"`
	Servers        []ServerStatus `json:"servers"`
	// EvacuatedZones are the availability zones that operators have evacuated, in force here.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// ZonesAgeMS is how old the proof of them is; of a gateway only.
	ZonesAgeMS int64 `json:"zones_age_ms,omitempty"`
}

// DrainRequest asks a process to drain. Name is the process's own name, or
// that of a backend server beside it; empty means the process itself.
type DrainRequest struct {
	Name string `json:"name,omitempty"`
}

// DrainState tells how far a drain is. It is over when Running is 0.
type DrainState struct {
	Name     string `json:"name"`
	Draining bool   `json:"draining"`
	Running  int64  `json:"running"`
}

// StatusProvider gives the state of the process.
type StatusProvider interface {
	Status() Status
}

// ReadyProvider returns nil if the process may get work, or why not.
type ReadyProvider interface {
	Ready() error
}

// Drainer starts a drain, or goes on with one. It returns ErrUnknownName for a
// name that isn't its own.
type Drainer interface {
	Drain(ctx context.Context, name string) (DrainState, error)
}

// SLOProvider gives the service-level counts of the process.
type SLOProvider interface {
	Snapshot(now time.Time) slo.Snapshot
}
