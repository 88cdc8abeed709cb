package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// maxListBytes bounds the answer that a client reads.
const maxListBytes = 256 << 20

// exchange is one HTTP call of the object API.
type exchange struct {
	call    string // for counters and errors
	method  string
	path    string
	body    json.RawMessage
	version uint64 // If-Match, of PUT and DELETE
	timeout time.Duration
	write   bool
	into    any
}

// once sends an exchange and maps what comes back to the errors of Store.
func (c *Client) once(ctx context.Context, e exchange) error {
	err := c.send(ctx, e)
	c.tally.count(e.call, err)
	return errors.Annotatef(err, "step %s %s, peer %s", e.call, e.path, c.base)
}

func (c *Client) send(ctx context.Context, e exchange) error {
	limit := c.reads
	if e.write {
		limit = c.writes
	}
	if !limit.Allow() {
		c.tally.ownLimit.Inc(1)
		return ErrThrottled
	}
	timeout := e.timeout
	if timeout == 0 {
		timeout = c.config.CallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.request(ctx, e)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return lostAnswer(err, e.write && connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response, e)
}

func (c *Client) request(ctx context.Context, e exchange) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, e.method, c.base+e.path, bytes.NewReader(e.body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if e.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if e.version != 0 {
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(e.version, 10)))
	}
	return request, nil
}

// lostAnswer maps a call that got no whole answer. Once there was a connection
// the request may have left, and a write may have taken effect: to call that
// "unavailable" would let a lease or a claim be written twice.
func lostAnswer(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return errors.WithType(err, ErrOutcomeUnknown)
	}
	return errors.WithType(err, ErrUnavailable)
}

func readAnswer(response *http.Response, e exchange) error {
	body := io.LimitReader(response.Body, maxListBytes)
	if response.StatusCode >= 300 {
		return refusal(response.StatusCode, body, e.write)
	}
	if err := json.NewDecoder(body).Decode(e.into); err != nil {
		return lostAnswer(err, e.write)
	}
	// Read to the end, so that the connection goes back to the pool.
	_, _ = io.Copy(io.Discard, body)
	return nil
}

// refusal maps an answer that is no success. Only a code of the object API
// says that the call did not run; a bare 5xx may come from something between
// that had already passed the write on.
func refusal(status int, body io.Reader, write bool) error {
	var answer ErrorBody
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		answer = ErrorBody{}
	}
	if known := errorOfCode(answer.Code); known != nil {
		return errors.Annotate(known, answer.Message)
	}
	switch {
	case status == http.StatusTooManyRequests:
		return ErrThrottled
	case status >= http.StatusInternalServerError:
		return lostAnswer(errors.Errorf("status %d", status), write)
	}
	return errors.BadRequestf("status %d: %s", status, answer.Message)
}
