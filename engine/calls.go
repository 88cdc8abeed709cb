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

// maxAnswer bounds a JSON answer of the engine, bytes.
const maxAnswer = 8 << 20

// pollTimeout bounds one long poll for cache events.
const pollTimeout = 30 * time.Second

// RequestLoad is one request in the engine's load; Handle is set for an
// exported segment, whose memory stays taken until it is freed.
type RequestLoad struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	Handle string `json:"handle"`
}

// Load is what an engine reports of itself, late. Tokens throughout. Boot
// changes when the engine restarted.
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

// Segment is one part of a long prompt that an engine prefills for others.
type Segment struct {
	RequestID string `json:"request_id"`
	Index     int    `json:"segment"`
	Count     int    `json:"segments"`
	Priority  int32  `json:"priority"`
	// Text is cut between runes: JSON replaces half a rune by another.
	Text string `json:"text"`
}

// ExportedSegment is an exported segment.
type ExportedSegment struct {
	Handle      string
	Tokens      int64
	PrefillTime time.Duration // as the engine measured it
}

// Order changes what an engine serves.
type Order struct {
	Action  string `json:"action"` // load, unload, role
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Lease   string `json:"lease"`
	Fence   uint64 `json:"fence"`
}

// CacheEvent is a change of the engine's prefix cache. Events come late and
// with gaps: they are hints.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Op   string `json:"op"`          // store or evict
	Hash uint64 `json:"hash,string"` // as AppendPrefixHashes computes it
}

// call is a JSON call without a stream; in and out may be nil.
func (c *Client) call(ctx context.Context, step, method, path string, in, out any) error {
	m := &message{step: step, method: method, path: path}
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
	return c.readAnswer(resp.Body, step, out)
}

func (c *Client) readAnswer(body io.Reader, step string, out any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer+1))
	if err != nil {
		return c.broke(err, step)
	}
	if len(data) > maxAnswer {
		return c.malformed(errors.Errorf("answer over %d bytes", maxAnswer), step)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return c.malformed(err, step)
	}
	return nil
}

func (c *Client) brief(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.cfg.CallTimeout)
}

// Health returns nil if the engine says that it can work.
func (c *Client) Health(ctx context.Context) error {
	ctx, cancel := c.brief(ctx)
	defer cancel()
	return c.call(ctx, "health", http.MethodGet, "/health", nil, nil)
}

// Load returns the engine's report of itself, which lags.
func (c *Client) Load(ctx context.Context) (*Load, error) {
	ctx, cancel := c.brief(ctx)
	defer cancel()
	l := &Load{}
	if err := c.call(ctx, "load", http.MethodGet, "/load", nil, l); err != nil {
		return nil, err
	}
	if l.Used < 0 || l.Capacity < 0 || l.Running < 0 || l.Waiting < 0 || l.PrefillShort < 0 || l.PrefillLong < 0 {
		return nil, c.malformed(errors.New("negative load"), "load")
	}
	return l, nil
}

// Model is a model, or an adapter of the model Parent, that the engine serves.
// Version is empty where the engine doesn't tell it.
type Model struct {
	ID      string `json:"id"`
	Parent  string `json:"parent"`
	Version string `json:"version"`
}

// Models is what an engine serves and in which role; Role is empty where the
// engine doesn't tell it.
type Models struct {
	Data []Model `json:"data"`
	Role string  `json:"role"`
}

// Models returns what the engine serves.
func (c *Client) Models(ctx context.Context) (*Models, error) {
	ctx, cancel := c.brief(ctx)
	defer cancel()
	list := &Models{}
	if err := c.call(ctx, "models", http.MethodGet, "/v1/models", nil, list); err != nil {
		return nil, err
	}
	return list, nil
}

type cancelBody struct {
	RequestID string `json:"request_id"`
}

// Cancel stops a run by its request id. A run that is not there is no error.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	ctx, cancel := c.brief(ctx)
	defer cancel()
	return c.call(ctx, "cancel", http.MethodPost, "/v1/cancel", cancelBody{requestID}, nil)
}

type prefillAnswer struct {
	Handle    string `json:"handle"`
	Tokens    int64  `json:"tokens"`
	PrefillUs int64  `json:"prefill_us"`
}

// PrefillSegment prefills one segment, which stays in the engine's memory until
// FreeSegment. After an error other than ErrNotRun the memory may be taken: the
// handle then shows in Load under the request id.
func (c *Client) PrefillSegment(ctx context.Context, s *Segment) (ExportedSegment, error) {
	var a prefillAnswer
	if err := c.call(ctx, "prefill segment", http.MethodPost, "/v1/kv/prefill", s, &a); err != nil {
		return ExportedSegment{}, err
	}
	if a.Handle == "" || a.Tokens <= 0 || a.PrefillUs < 0 {
		return ExportedSegment{}, c.malformed(errors.Errorf("segment %+v", a), "prefill segment")
	}
	return ExportedSegment{a.Handle, a.Tokens, time.Duration(a.PrefillUs) * time.Microsecond}, nil
}

// FreeSegment gives up an exported segment. One that is not there is no error.
func (c *Client) FreeSegment(ctx context.Context, handle string) error {
	ctx, cancel := c.brief(ctx)
	defer cancel()
	err := c.call(ctx, "free segment", http.MethodDelete, "/v1/kv/"+url.PathEscape(handle), nil, nil)
	if e, ok := errors.AsType[*StatusError](err); ok && e.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Order sends an order. It returns when the engine carried it out, which for a
// load is when the weights are there; bound it by ctx. ErrStaleFence if refused.
func (c *Client) Order(ctx context.Context, o *Order) error {
	return c.call(ctx, "order "+o.Action, http.MethodPost, "/v1/orders", o, nil)
}

// CacheEvents waits for events after a number and returns them with the number
// to ask with next. None within the engine's patience is no error.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var a struct {
		Events []CacheEvent `json:"events"`
		Next   uint64       `json:"next"`
	}
	path := "/v1/cache_events?after=" + strconv.FormatUint(after, 10)
	if err := c.call(ctx, "cache events", http.MethodGet, path, nil, &a); err != nil {
		return nil, after, err
	}
	return a.Events, a.Next, nil
}
