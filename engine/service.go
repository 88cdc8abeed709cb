package engine

import (
	"context"
	"io"
	"net/http"
)

// ServiceRequest is a call to a plain service. It is sent at most once.
type ServiceRequest struct {
	Method        string
	Path          string // including the query
	Header        http.Header
	Body          io.Reader // nil for none
	ContentLength int64     // length of Body in bytes, -1 if unknown
}

// ServiceResponse is a response of a service with any status. The caller must
// close Body.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser // Read fails with ErrBroken if the connection breaks
}

// hopByHopHeaders are headers that apply to one connection and are not
// forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Service calls a plain service. It returns ErrNotRun if the service certainly
// did not receive the call, because no byte was sent, and ErrBroken if it may
// have run.
func (c *Client) Service(ctx context.Context, r *ServiceRequest) (*ServiceResponse, error) {
	m := &outgoing{step: "service", method: r.Method, path: r.Path, header: removeHopByHop(r.Header)}
	if r.Body != nil && r.ContentLength != 0 {
		m.stream = r.Body
		m.length = r.ContentLength
	}
	c.counters.runs.Inc(1)
	resp, err := c.send(ctx, m)
	if err != nil {
		return nil, err
	}
	return &ServiceResponse{Status: resp.StatusCode, Header: removeHopByHop(resp.Header), Body: &serviceBody{resp.Body, c}}, nil
}

// serviceBody wraps the read errors of a response body as ErrBroken. Otherwise
// a truncated response would look to the caller like a complete, shorter one.
type serviceBody struct {
	io.ReadCloser
	client *Client
}

// Read implements io.Reader.
func (b *serviceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.client.brokenError(err, "service body")
	}
	return n, err
}

func removeHopByHop(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
