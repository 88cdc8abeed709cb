package engine

import (
	"context"
	"io"
	"net/http"
)

// ServiceRequest is a call to a plain service. It is sent at most once.
type ServiceRequest struct {
	Method        string
	Path          string // with query
	Header        http.Header
	Body          io.Reader // nil for none
	ContentLength int64     // its length, -1 if unknown
}

// ServiceResponse is a service's answer, any status included. Close its Body.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser // Read fails with ErrBroken if the connection breaks
}

// hopByHop are headers that concern one connection and are not passed on
// (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Service calls a plain service. ErrNotRun if the service certainly did not get
// it: no byte was sent. ErrBroken if it
// may have run.
func (c *Client) Service(ctx context.Context, r *ServiceRequest) (*ServiceResponse, error) {
	m := &message{step: "service", method: r.Method, path: r.Path, header: cleanHeader(r.Header)}
	if r.Body != nil && r.ContentLength != 0 {
		m.stream = r.Body
		m.length = r.ContentLength
	}
	c.counters.runs.Inc(1)
	resp, err := c.send(ctx, m)
	if err != nil {
		return nil, err
	}
	return &ServiceResponse{Status: resp.StatusCode, Header: cleanHeader(resp.Header), Body: &serviceBody{resp.Body, c}}, nil
}

// serviceBody types the errors of an answer's body. Without it, an answer that
// was cut short would look to the caller like one of another length.
type serviceBody struct {
	io.ReadCloser
	client *Client
}

// Read implements io.Reader.
func (b *serviceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.client.broke(err, "service body")
	}
	return n, err
}

func cleanHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
