package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// maxResponseBytes is the maximum size of a JSON response of the engine.
const maxResponseBytes = 8 << 20

// pollTimeout is the timeout of one long poll for cache events.
const pollTimeout = 30 * time.Second

// RequestLoad is one request in the load of the engine. Handle is set for an
// exported segment, which occupies memory until it is freed.
type RequestLoad struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	Handle string `json:"handle"`
}

// Load is the load that an engine reports, with a delay. All amounts of work
// and memory are in tokens. BootID changes when the engine restarts.
type Load struct {
	Running      int32         `json:"running"`
	Waiting      int32         `json:"waiting"`
	PrefillShort int64         `json:"prefill_short"`
	PrefillLong  int64         `json:"prefill_long"`
	Used         int64         `json:"used_tokens"`
	Capacity     int64         `json:"capacity_tokens"`
	Requests     []RequestLoad `json:"requests"`
	BootID       string        `json:"boot"`
}

// Segment is one part of a long prompt that an engine prefills for another
// engine.
type Segment struct {
	RequestID string `json:"request_id"`
	Index     int    `json:"segment"`
	Count     int    `json:"segments"`
	Priority  int32  `json:"priority"`
	// Text is cut between runes, because JSON encoding would replace an incomplete
	// rune.
	Text string `json:"text"`
}

// ExportedSegment is a prefilled segment that the engine has exported.
type ExportedSegment struct {
	Handle      string
	Tokens      int64
	PrefillTime time.Duration // as measured by the engine
}

// Order changes which models, adapters or role an engine serves.
type Order struct {
	Action  string `json:"action"` // load, unload, role
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Lease   string `json:"lease"`
	Fence   uint64 `json:"fence"`
}

// CacheEvent is a change of the prefix cache of the engine. Events arrive late
// and with gaps, so they are only hints.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Op   string `json:"op"`          // store or evict
	Hash uint64 `json:"hash,string"` // as AppendPrefixHashes computes it
}

// callJSON makes a JSON call without streaming; in and out may be nil.
func (c *Client) callJSON(ctx context.Context, step, method, path string, in, out any) error {
	m := &outgoing{step: step, method: method, path: path}
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return c.annotate(err, step)
		}
		m.body = [][]byte{data}
		m.header = http.Header{"Content-Type": {"application/json"}}
	}
	resp, err := c.send(ctx, m)
	if err != nil {
		return err
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return c.statusError(resp, step)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.decodeResponse(resp.Body, step, out)
}

func (c *Client) decodeResponse(body io.Reader, step string, out any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return c.brokenError(err, step)
	}
	if len(data) > maxResponseBytes {
		return c.malformedError(errors.Errorf("answer over %d bytes", maxResponseBytes), step)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return c.malformedError(err, step)
	}
	return nil
}

func (c *Client) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.cfg.CallTimeout)
}

// Health returns nil if the engine reports that it is healthy.
func (c *Client) Health(ctx context.Context) error {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	return c.callJSON(ctx, "health", http.MethodGet, "/health", nil, nil)
}

// Load returns the load that the engine reports, which lags behind.
func (c *Client) Load(ctx context.Context) (*Load, error) {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	l := &Load{}
	if err := c.callJSON(ctx, "load", http.MethodGet, "/load", nil, l); err != nil {
		return nil, err
	}
	if l.Used < 0 || l.Capacity < 0 || l.Running < 0 || l.Waiting < 0 || l.PrefillShort < 0 || l.PrefillLong < 0 {
		return nil, c.malformedError(errors.New("negative load"), "load")
	}
	return l, nil
}

// Model is a model that the engine serves, or an adapter of the model Parent.
// Version is empty if the engine does not report it.
type Model struct {
	ID      string `json:"id"`
	Parent  string `json:"parent"`
	Version string `json:"version"`
}

// Models lists what an engine serves. Role is empty if the engine does not
// report it.
type Models struct {
	Data []Model `json:"data"`
	Role string  `json:"role"`
}

// Models returns the models and adapters that the engine serves.
func (c *Client) Models(ctx context.Context) (*Models, error) {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	list := &Models{}
	if err := c.callJSON(ctx, "models", http.MethodGet, "/v1/models", nil, list); err != nil {
		return nil, err
	}
	return list, nil
}

type cancelRequest struct {
	RequestID string `json:"request_id"`
}

// Cancel stops a run by its request id. A missing run is not an error.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	return c.callJSON(ctx, "cancel", http.MethodPost, "/v1/cancel", cancelRequest{requestID}, nil)
}

type prefillResponse struct {
	Handle    string `json:"handle"`
	Tokens    int64  `json:"tokens"`
	PrefillUs int64  `json:"prefill_us"`
}

// PrefillSegment prefills one segment, which occupies memory of the engine
// until FreeSegment. After an error other than ErrNotRun the memory may be
// occupied: the handle then appears in Load under the request id.
func (c *Client) PrefillSegment(ctx context.Context, s *Segment) (ExportedSegment, error) {
	var a prefillResponse
	if err := c.callJSON(ctx, "prefill segment", http.MethodPost, "/v1/kv/prefill", s, &a); err != nil {
		return ExportedSegment{}, err
	}
	if a.Handle == "" || a.Tokens <= 0 || a.PrefillUs < 0 {
		return ExportedSegment{}, c.malformedError(errors.Errorf("segment %+v", a), "prefill segment")
	}
	return ExportedSegment{a.Handle, a.Tokens, time.Duration(a.PrefillUs) * time.Microsecond}, nil
}

// FreeSegment frees an exported segment. A missing segment is not an error.
func (c *Client) FreeSegment(ctx context.Context, handle string) error {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	err := c.callJSON(ctx, "free segment", http.MethodDelete, "/v1/kv/"+url.PathEscape(handle), nil, nil)
	if e, ok := errors.AsType[*StatusError](err); ok && e.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Order sends an order and returns when the engine has carried it out, which
// for a load order is when the weights are loaded; ctx limits the wait. It
// returns ErrStaleFence if the engine rejects the fencing number.
func (c *Client) Order(ctx context.Context, o *Order) error {
	return c.callJSON(ctx, "order "+o.Action, http.MethodPost, "/v1/orders", o, nil)
}

// CacheEvents waits for events with a sequence number greater than after. It
// returns them and the number to pass to the next call. If no event arrives
// within the long poll of the engine, it returns none and no error.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var a struct {
		Events []CacheEvent `json:"events"`
		Next   uint64       `json:"next"`
	}
	path := "/v1/cache_events?after=" + strconv.FormatUint(after, 10)
	if err := c.callJSON(ctx, "cache events", http.MethodGet, path, nil, &a); err != nil {
		return nil, after, err
	}
	return a.Events, a.Next, nil
}
