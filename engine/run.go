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

// maxErrorBody bounds what is read of an error answer, bytes.
const maxErrorBody = 4 << 10

// maxExcerpt bounds what a StatusError carries of it.
const maxExcerpt = 512

// RunRequest is one attempt at a chat or completion. The client sets stream,
// stream_options, priority, resume_from, prior_text and kv_group in the body.
type RunRequest struct {
	Kind          request.Kind // KindChat or KindCompletion
	RequestID     string       // the engine's name for the run
	Model         string       // as the engine names it; empty leaves the body's
	Body          []byte       // the caller's JSON object; not changed
	BodyValidated bool         // Body is known to be valid JSON: it isn't read again
	Priority      int32        // lower is sooner
	ResumeFrom    uint64       // chunks that the caller already has
	PriorText     []byte       // their text
	KVGroup       []KVGroupMember
}

// Run sends the request and returns when the head of the answer is there.
// Errors: ErrBadBody and ErrNotRun (it did not run), *StatusError, ErrMalformed,
// ErrBroken (it may have run).
func (c *Client) Run(ctx context.Context, run *RunRequest) (*Stream, error) {
	parts, err := rewrite(run)
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
	resp, err := c.send(ctx, &message{step: "run", method: http.MethodPost, path: path, header: header, body: parts})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, c.statusError(resp, "run")
	}
	if kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); kind != "text/event-stream" {
		_ = resp.Body.Close()
		return nil, c.malformed(errors.Errorf("content type %q", kind), "run")
	}
	return &Stream{client: c, body: resp.Body, sse: newSSEReader(resp.Body, c.cfg.MaxLineBytes),
		firstByte: time.Since(begin)}, nil
}

// statusError reads and closes an answer with an error status.
func (c *Client) statusError(resp *http.Response, step string) error {
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
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

// errorCode finds the code of an error body, at the top or under "error".
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
	data = data[:min(len(data), maxExcerpt)]
	return string(bytes.ToValidUTF8(data, []byte("?")))
}

func (c *Client) malformed(err error, step string) error {
	c.counters.malformed.Inc(1)
	return c.annotate(errors.WithType(err, ErrMalformed), step)
}
