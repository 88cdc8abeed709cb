package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/request"
)

// maxErrorBodyBytes is the maximum number of bytes read of an error response.
const maxErrorBodyBytes = 4 << 10

// maxExcerptBytes is the maximum length of the excerpt in a StatusError.
const maxExcerptBytes = 512

// RunRequest is one attempt at a chat or completion. The client sets stream,
// stream_options, priority, resume_from, prior_text and kv_group in the body.
type RunRequest struct {
	Kind          request.Kind // KindChat or KindCompletion
	RequestID     string       // id of the run at the engine
	Model         string       // name of the model at the engine; empty keeps the model of the body
	Body          []byte       // the caller's JSON object; not modified
	BodyValidated bool         // Body is known to be valid JSON and is not validated again
	Priority      int32        // lower values run sooner
	ResumeFrom    uint64       // number of chunks that the caller already has
	PriorText     []byte       // text of those chunks
	KVGroup       []KVGroupMember
}

// Run sends the request and returns when the response header has arrived.
// Errors: ErrBadBody and ErrNotRun (the request did not run), *StatusError,
// ErrMalformed and ErrBroken (it may have run).
func (c *Client) Run(ctx context.Context, run *RunRequest) (*Stream, error) {
	parts, err := buildBody(run)
	if err != nil {
		return nil, c.annotate(err, "body")
	}
	path := "/v1/chat/completions"
	if run.Kind == request.KindCompletion {
		path = "/v1/completions"
	}
	header := http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}}
	header.Set("X-Request-Id", run.RequestID)
	c.counters.runs.Inc(1)
	begin := time.Now()
	resp, err := c.send(ctx, &outgoing{step: "run", method: http.MethodPost, path: path, header: header, body: parts})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, c.statusError(resp, "run")
	}
	if kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); kind != "text/event-stream" {
		_ = resp.Body.Close()
		return nil, c.malformedError(errors.Errorf("content type %q", kind), "run")
	}
	return &Stream{client: c, body: resp.Body, sse: newSSEReader(resp.Body, c.cfg.MaxLineBytes),
		firstByte: time.Since(begin)}, nil
}

// statusError converts a response with an error status to an error and closes
// its body.
func (c *Client) statusError(resp *http.Response, step string) error {
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	e := &StatusError{Status: resp.StatusCode, Code: errorCode(data), Excerpt: excerpt(data)}
	if e.Status == http.StatusServiceUnavailable && e.Code == codeNotRun {
		c.counters.notRun.Inc(1)
		return c.annotate(errors.WithType(e, ErrNotRun), step)
	}
	c.counters.status.Inc(1)
	if e.Code == codeStaleFence {
		return c.annotate(errors.WithType(e, ErrStaleFence), step)
	}
	return c.annotate(e, step)
}

// errorCode returns the code of an error body, from its top level or from its
// "error" object.
func errorCode(data []byte) string {
	var body struct {
		Code  string `json:"code"`
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil {
		return ""
	}
	if body.Error.Code != "" {
		return body.Error.Code
	}
	return body.Code
}

func excerpt(data []byte) string {
	data = data[:min(len(data), maxExcerptBytes)]
	return string(bytes.ToValidUTF8(data, []byte("?")))
}

func (c *Client) malformedError(err error, step string) error {
	c.counters.malformed.Inc(1)
	return c.annotate(errors.WithType(err, ErrMalformed), step)
}
