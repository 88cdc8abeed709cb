package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"syscall"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/engine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// serviceReadBytes is the size of the read buffer for a plain service's
// response.
const serviceReadBytes = 32 << 10

// httpEngine implements Engine with the HTTP client.
type httpEngine struct {
	client  *engine.Client
	service bool
}

// NewHTTPEngine returns an Engine that uses an HTTP client. service is true if
// the backend server is a plain service.
func NewHTTPEngine(client *engine.Client, service bool) Engine {
	return &httpEngine{client: client, service: service}
}

// mapError converts an error of the HTTP client to the errors of this package.
func mapError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, engine.ErrNotRun) && errors.Is(err, syscall.ECONNREFUSED) {
		return errors.WithType(err, ErrUnreachable)
	}
	if errors.Is(err, engine.ErrNotRun) || errors.Is(err, engine.ErrBadBody) {
		return errors.WithType(err, ErrNotRun)
	}
	if errors.Is(err, engine.ErrStaleFence) {
		return errors.WithType(err, ErrStaleFence)
	}
	if status, ok := errors.AsType[*engine.StatusError](err); ok {
		return &StatusError{Status: status.Status, Message: err.Error()}
	}
	return errors.WithType(err, ErrBroken)
}

func (e *httpEngine) Run(ctx context.Context, run *EngineRun) (EngineStream, error) {
	kind := request.KindChat
	if run.Kind == wirepb.Kind_KIND_COMPLETION {
		kind = request.KindCompletion
	}
	stream, err := e.client.Run(ctx, &engine.RunRequest{
		Kind:          kind,
		RequestID:     run.ID,
		Model:         run.Model,
		Body:          run.Body,
		BodyValidated: true, // entries parse each body before they send it
		Priority:      run.Priority,
		ResumeFrom:    run.ResumeFrom,
		PriorText:     run.PriorText,
		KVGroup:       groupMembers(run.Group),
	})
	if err != nil {
		return nil, mapError(err)
	}
	return &httpStream{stream}, nil
}

func groupMembers(group []*wirepb.GroupMember) []engine.KVGroupMember {
	var out []engine.KVGroupMember
	for _, m := range group {
		out = append(out, engine.KVGroupMember{Address: m.EngineAddress, Handle: m.Handle, Tokens: int64(m.Tokens)})
	}
	return out
}

type httpStream struct{ stream *engine.Stream }

func (s *httpStream) Next() (EngineChunk, error) {
	chunk, err := s.stream.Next()
	if err == io.EOF {
		return EngineChunk{}, io.EOF
	}
	if err != nil {
		return EngineChunk{}, mapError(err)
	}
	usage := s.stream.Usage()
	return EngineChunk{
		Data:         chunk.Data,
		Tokens:       uint32(chunk.Tokens),
		PromptTokens: uint64(usage.Prompt),
		OutputTokens: uint64(usage.Output),
		CachedTokens: uint64(usage.Cached),
	}, nil
}

func (s *httpStream) Close() error { return s.stream.Close() }

func (e *httpEngine) PrefillSegment(ctx context.Context, run *EngineRun) (Segment, error) {
	done, err := e.client.PrefillSegment(ctx, &engine.Segment{
		RequestID: run.ID,
		Index:     int(run.Segment),
		Count:     int(run.Segments),
		Priority:  run.Priority,
		Text:      string(run.Body),
	})
	if err != nil {
		return Segment{}, mapError(err)
	}
	return Segment{
		Handle:    done.Handle,
		Tokens:    uint64(done.Tokens),
		PrefillUS: uint64(done.PrefillTime.Microseconds()),
	}, nil
}

func (e *httpEngine) Service(ctx context.Context, call *ServiceCall) (ServiceStream, error) {
	header := http.Header{}
	for _, h := range call.Headers {
		header.Add(h.Name, h.Value)
	}
	resp, err := e.client.Service(ctx, &engine.ServiceRequest{
		Method:        call.Method,
		Path:          call.Path,
		Header:        header,
		Body:          bytes.NewReader(call.Body),
		ContentLength: int64(len(call.Body)),
	})
	if err != nil {
		return nil, mapError(err)
	}
	return &httpServiceStream{resp: resp, buffer: make([]byte, serviceReadBytes)}, nil
}

type httpServiceStream struct {
	resp   *engine.ServiceResponse
	buffer []byte
	err    error // error of the last read, returned after its bytes
}

func (s *httpServiceStream) Status() uint32 { return uint32(s.resp.Status) }

func (s *httpServiceStream) Headers() []*wirepb.Header {
	var out []*wirepb.Header
	for name, values := range s.resp.Header {
		for _, value := range values {
			out = append(out, &wirepb.Header{Name: name, Value: value})
		}
	}
	return out
}

func (s *httpServiceStream) Next() ([]byte, error) {
	for s.err == nil {
		var n int
		n, s.err = s.resp.Body.Read(s.buffer)
		if n > 0 {
			return s.buffer[:n], nil
		}
	}
	if s.err == io.EOF {
		return nil, io.EOF
	}
	return nil, errors.WithType(s.err, ErrBroken)
}

func (s *httpServiceStream) Close() error { return s.resp.Body.Close() }

func (e *httpEngine) FreeSegment(ctx context.Context, handle string) error {
	return mapError(e.client.FreeSegment(ctx, handle))
}

func (e *httpEngine) Cancel(ctx context.Context, id string) error {
	return mapError(e.client.Cancel(ctx, id))
}

func (e *httpEngine) Order(ctx context.Context, o EngineOrder) error {
	return mapError(e.client.Order(ctx, &engine.Order{
		Action: o.Action, Model: o.Model, Adapter: o.Adapter, Version: o.Version,
		Role: o.Role, Lease: o.Lease, Fence: o.Fence,
	}))
}

// Health checks the engine. A plain service need not implement the path: any
// response with a status below 500 shows that it is alive.
func (e *httpEngine) Health(ctx context.Context) error {
	err := mapError(e.client.Health(ctx))
	var status *StatusError
	if e.service && errors.As(err, &status) && status.Status < http.StatusInternalServerError {
		return nil
	}
	return err
}

func (e *httpEngine) Inventory(ctx context.Context) (EngineInventory, error) {
	models, err := e.client.Models(ctx)
	if err != nil {
		return EngineInventory{}, mapError(err)
	}
	out := EngineInventory{Role: backend.Role(models.Role)}
	for _, m := range models.Data {
		out.Weights = append(out.Weights, backend.Weights{
			Name:    m.ID,
			Version: backend.VersionKey(m.Version),
			Adapter: m.Parent != "",
		})
	}
	return out, nil
}

func (e *httpEngine) Load(ctx context.Context) (EngineLoad, error) {
	load, err := e.client.Load(ctx)
	if err != nil {
		return EngineLoad{}, mapError(err)
	}
	out := EngineLoad{UsedTokens: load.Used, BootID: load.BootID}
	for _, r := range load.Requests {
		out.Requests = append(out.Requests, EngineRequest{ID: r.ID, Handle: r.Handle})
	}
	return out, nil
}
