// Package routetable holds the configuration that operators declare for the gateway:
// routes, the services behind them, limits on callers, and the workspaces with their
// API keys.
//
// Guarantees: a Table never changes after New; a Holder never returns to an older
// revision within a process, regardless of its source; the age of a table is counted
// from before the call that confirmed it, on a clock that includes the time during
// which the VM is suspended.
package routetable

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/briarturn/briarturn/placement"
)

// Kind determines whether the requests of a route may be retried.
type Kind uint8

// Kinds of routes.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // runs at most once per attempt of a caller
	Stream                    // a stream of events; treated as NonIdempotent unless Resumable
)

// String returns the name of the kind as used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	}
	return "stream"
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int // relative to the route's other targets
}

// Route is one declared route.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Resumable      bool          // a Stream that may be resumed on another backend server
	Timeout        time.Duration // maximum duration of a request
	Objective      time.Duration // time within which an answer (or the first event of a stream) is on time
	PauseObjective time.Duration // longest pause between events with which a Stream is on time
	Priority       int           // 0 is the highest
	MaxAttempts    int           // maximum backend servers to which one attempt of a caller is sent
	Public         bool          // requires no API key
	Regions        Regions       // apply in addition to those of the workspace
	Targets        []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a declared group of backend servers.
type Service struct {
	Name   string
	Engine *placement.EngineProfile // nil for a plain service
	// ColdPerSecond is the number of requests per second, from all entries together,
	// that one of its servers can handle while it is cold; 0: not declared.
	ColdPerSecond float64
}

// Limits limits the size of callers' requests. Zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Workspace is the tenant to which requests are attributed.
type Workspace struct {
	Name        string
	Priority    int  // overrides the priority of the route
	HasPriority bool // Priority is set
	Regions     Regions
}

// Config is the decoded configuration of one revision.
type Config struct {
	Revision   uint64 // increases with each version that operators declare
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
	Keys       map[string]string // API key -> name of its workspace
}

// Table is one revision of the configuration, indexed for lookups. It is immutable and
// safe for concurrent use.
type Table struct {
	revision       uint64
	byHost         map[string][]*Route // longest prefix first
	services       map[string]*Service
	limits         Limits
	workspaceByKey map[string]*Workspace
	needsKey       bool
}

// New builds the Table of one configuration revision.
func New(d Config) *Table {
	t := &Table{
		revision:       d.Revision,
		byHost:         map[string][]*Route{},
		services:       make(map[string]*Service, len(d.Services)),
		limits:         d.Limits,
		workspaceByKey: make(map[string]*Workspace, len(d.Keys)),
		needsKey:       len(d.Workspaces) > 0,
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	byName := make(map[string]*Workspace, len(d.Workspaces))
	for i := range d.Workspaces {
		byName[d.Workspaces[i].Name] = &d.Workspaces[i]
	}
	for key, name := range d.Keys {
		t.workspaceByKey[key] = byName[name]
	}
	return t
}

// Revision returns the revision of the configuration.
func (t *Table) Revision() uint64 { return t.revision }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Route returns the route for a host and an escaped path: the route of the host with
// the longest matching path prefix.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost returns a Host header value without port, in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the service with a name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// NeedsKey reports whether requests of the route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.needsKey && !r.Public }

// Workspace returns the workspace of an API key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.workspaceByKey[key]
	return w, ok && w != nil
}
