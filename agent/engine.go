package agent

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Errors of an Engine. Test for them with errors.Is.
const (
	// ErrNotRun means that the engine refused the request before running it, or
	// that nothing was sent to the engine.
	ErrNotRun = errors.ConstError("engine did not run the request")
	// ErrUnreachable means that no connection could be made and nothing was
	// sent, so the request was not run.
	ErrUnreachable = errors.ConstError("engine unreachable")
	// ErrBroken means that the connection broke after the request was sent, so
	// the engine may have run it.
	ErrBroken = errors.ConstError("engine connection broken")
	// ErrStaleFence means that the engine itself rejected an order's fencing
	// number.
	ErrStaleFence = errors.ConstError("stale fence")
)

// StatusError is a response of the engine with an error status.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "engine status " + strconv.Itoa(e.Status) + ": " + e.Message
}

// EngineRun is a request as it is sent to the engine.
type EngineRun struct {
	ID         string // ID of the request at the engine; unique for each attempt
	Kind       wirepb.Kind
	Model      string // name of the model at the engine; empty keeps the name in the body
	Body       []byte // JSON sent by the caller
	Priority   int32
	ResumeFrom uint64
	PriorText  []byte
	Group      []*wirepb.GroupMember
	Segment    uint32
	Segments   uint32 // size of the group, at least Segment+1
}

// EngineChunk is one part of an answer. The last one may contain only the
// usage.
type EngineChunk struct {
	Data         []byte
	Tokens       uint32
	PromptTokens uint64 // usage; zero until the engine reports it
	OutputTokens uint64
	CachedTokens uint64
}

// EngineStream is the answer to a run. Next returns io.EOF after the complete
// answer. Close frees the connection and may be called at any time.
type EngineStream interface {
	Next() (EngineChunk, error)
	Close() error
}

// Segment is an exported part of a prompt's KV cache.
type Segment struct {
	Handle    string
	Tokens    uint64
	PrefillUS uint64 // duration of the prefill in microseconds
}

// EngineRequest is a request that the engine reports: a run, or an exported
// segment if it has a handle.
type EngineRequest = backend.EngineRequest

// EngineLoad is the load that the engine reports. It lags behind the actual
// load.
type EngineLoad struct {
	UsedTokens int64
	Requests   []EngineRequest
	BootID     string // changes when the engine restarts
}

// EngineInventory lists what the engine has loaded, and its role. Versions are
// 0 and the role is empty if the engine does not report them.
type EngineInventory struct {
	Weights []backend.Weights
	Role    backend.Role
}

// EngineOrder is an order as it is sent to the engine.
type EngineOrder struct {
	Action, Model, Adapter, Version, Role, Lease string
	Fence                                        uint64
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	ID      string
	Method  string
	Path    string
	Headers []*wirepb.Header
	Body    []byte
}

// ServiceStream is the response of a plain service. Next returns io.EOF after
// the complete body; its slice is valid until the next call.
type ServiceStream interface {
	Status() uint32
	Headers() []*wirepb.Header
	Next() ([]byte, error)
	Close() error
}

// Engine is the agent's interface to the backend server. Cancelling the context
// stops a call. Methods return the errors above or a *StatusError; any other
// error is handled as ErrBroken.
type Engine interface {
	Run(ctx context.Context, run *EngineRun) (EngineStream, error)
	Service(ctx context.Context, call *ServiceCall) (ServiceStream, error)
	PrefillSegment(ctx context.Context, run *EngineRun) (Segment, error)
	FreeSegment(ctx context.Context, handle string) error
	Cancel(ctx context.Context, id string) error
	Order(ctx context.Context, order EngineOrder) error
	Health(ctx context.Context) error
	Load(ctx context.Context) (EngineLoad, error)
	// Inventory returns what the engine has loaded. It must not lag.
	Inventory(ctx context.Context) (EngineInventory, error)
}
