// Package routetable holds what operators declare for the gateway: routes, the
// services behind them, limits on callers, and the workspaces with their API keys.
//
// Rules kept here: a Table never changes after New; a Holder never goes back to an
// older revision within a process, whoever offers it; what was proved current is
// counted from before the question was asked, on a clock that runs on while the VM
// is suspended.
package routetable

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/briarturn/briarturn/placement"
)

// Kind says what may be repeated.
type Kind uint8

// Kinds of a route.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // runs at most once for each attempt of a caller
	Stream                    // a series of events; as NonIdempotent unless Resumable
)

// String returns the kind as logs show it.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	}
	return "stream"
}

// Target is a service that takes a share of a route's requests.
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
	Resumable      bool          // a Stream that may go on at another backend server
	Timeout        time.Duration // longest time that a caller is kept waiting
	Objective      time.Duration // within it an answer (a stream's first event) is on time
	PauseObjective time.Duration // longest pause between events of a Stream on time
	Priority       int           // 0 is first
	MaxAttempts    int           // backend servers that one attempt of a caller may be sent to
	Public         bool          // needs no API key
	Regions        Regions       // bind beside those of the workspace
	Targets        []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a declared set of backend servers.
type Service struct {
	Name   string
	Engine *placement.EngineProfile // nil for a plain service
	// ColdPerSecond is how many requests a second one of its servers bears while it is
	// cold, from all entries together; 0: not declared.
	ColdPerSecond float64
}

// Limits bound what a caller may send. Zero is no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Workspace is who a request is accounted to.
type Workspace struct {
	Name        string
	Priority    int  // goes before the route's
	HasPriority bool // Priority is given
	Regions     Regions
}

// Config is the decoded content of one revision.
type Config struct {
	Revision   uint64 // rises with each version of the operators
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
	Keys       map[string]string // API key → name of its workspace
}

// Table is one revision, ready for look-ups. It is immutable and safe for
// concurrent use.
type Table struct {
	revision   uint64
	byHost     map[string][]*Route // longest prefix first
	services   map[string]*Service
	limits     Limits
	workspaces map[string]*Workspace // by API key
	needsKey   bool
}

// New builds the Table of a revision.
func New(d Config) *Table {
	t := &Table{
		revision:   d.Revision,
		byHost:     map[string][]*Route{},
		services:   make(map[string]*Service, len(d.Services)),
		limits:     d.Limits,
		workspaces: make(map[string]*Workspace, len(d.Keys)),
		needsKey:   len(d.Workspaces) > 0,
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
	named := make(map[string]*Workspace, len(d.Workspaces))
	for i := range d.Workspaces {
		named[d.Workspaces[i].Name] = &d.Workspaces[i]
	}
	for key, name := range d.Keys {
		t.workspaces[key] = named[name]
	}
	return t
}

// Revision returns the revision of the table.
func (t *Table) Revision() uint64 { return t.revision }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// Route returns the route of a host and an escaped path: of the host's routes the
// one with the longest prefix that begins the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName is a Host header without port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns a service by its name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// NeedsKey reports whether requests of the route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.needsKey && !r.Public }

// Workspace returns the workspace of an API key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok && w != nil
}
