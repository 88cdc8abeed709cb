package agent

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Errors of an Engine. Test with errors.Is.
const (
	// ErrNotRun: the engine refused before running, or nothing was sent to it.
	ErrNotRun = errors.ConstError("engine did not run the request")
	// ErrUnreachable: no connection could be made; nothing was sent. It is
	// also a "not run".
	ErrUnreachable = errors.ConstError("engine unreachable")
	// ErrBroken: the connection broke after the request was sent, so the
	// engine may have run it.
	ErrBroken = errors.ConstError("engine connection broken")
	// ErrStaleFence: the engine itself refused an order's fencing number.
	ErrStaleFence = errors.ConstError("stale fence")
)

// StatusError is an answer of the engine with an error status.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "engine status " + strconv.Itoa(e.Status) + ": " + e.Message
}

// EngineRun is a request as the engine gets it.
type EngineRun struct {
	ID         string // the engine's name for it; one attempt each
	Kind       wirepb.Kind
	Model      string // as the engine names it; empty leaves the body's
	Body       []byte // the caller's JSON
	Priority   int32
	ResumeFrom uint64
	PriorText  []byte
	Group      []*wirepb.GroupMember
	Segment    uint32
	Segments   uint32 // size of the group, or what is known of it: over Segment
}

// EngineChunk is one part of an answer. The last one may carry the usage only.
type EngineChunk struct {
	Data         []byte
	Tokens       uint32
	PromptTokens uint64 // usage; zero until the engine reports it
	OutputTokens uint64
	CachedTokens uint64
}

// EngineStream is the answer to a run. Next returns io.EOF after the whole
// answer. Close frees the connection and may be called at any time.
type EngineStream interface {
	Next() (EngineChunk, error)
	Close() error
}

// Segment is an exported part of a prompt's KV.
type Segment struct {
	Handle    string
	Tokens    uint64
	PrefillUS uint64 // microseconds the prefill took
}

// EngineRequest is one request that the engine reports: a run, or an exported
// segment if it has a handle.
type EngineRequest = backend.EngineRequest

// EngineLoad is the engine's own report; it lags.
type EngineLoad struct {
	UsedTokens int64
	Requests   []EngineRequest
	BootID     string // changes when the engine restarted
}

// EngineInventory is what the engine has loaded and its role. Versions are 0 and
// the role is empty where the engine doesn't tell them.
type EngineInventory struct {
	Weights []backend.Weights
	Role    backend.Role
}

// EngineOrder is an order as passed on to the engine.
type EngineOrder struct {
	Action, Model, Adapter, Version, Role, Lease string
	Fence                                        uint64
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	ID      string
	Method  string
	Path    string
	Headers []*wirepb.Header
	Body    []byte
}

// ServiceStream is the answer of a plain service. Next returns io.EOF after the
// whole body; its slice is valid until the next call.
type ServiceStream interface {
	Status() uint32
	Headers() []*wirepb.Header
	Next() ([]byte, error)
	Close() error
}

// Engine is the backend server as the agent uses it. A context that ends stops
// a call. Errors are those above, or a *StatusError; any other counts as
// ErrBroken.
type Engine interface {
	Run(ctx context.Context, run *EngineRun) (EngineStream, error)
	Service(ctx context.Context, call *ServiceCall) (ServiceStream, error)
	PrefillSegment(ctx context.Context, run *EngineRun) (Segment, error)
	FreeSegment(ctx context.Context, handle string) error
	Cancel(ctx context.Context, id string) error
	Order(ctx context.Context, order EngineOrder) error
	Health(ctx context.Context) error
	Load(ctx context.Context) (EngineLoad, error)
	// Inventory lists what the engine has loaded. It must not lag.
	Inventory(ctx context.Context) (EngineInventory, error)
}
