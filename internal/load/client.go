package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	maxHeaderBytes   = 64 << 10
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	dialTimeout      = 5 * time.Second
	overdueGrace     = 5 * time.Second
)

// newHTTPClient returns a client that keeps up to conns idle connections.
func newHTTPClient(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:           conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
	}}
}

// client sends arrivals and judges what comes back.
type client struct {
	http    *http.Client
	targets []string
	mix     *Mix
	salt    uint64
	start   time.Time
	// verifying bounds how many prompts are laid out at a time to check
	// answers: a long one is 4 MB.
	verifying chan struct{}
}

// do sends one arrival and waits for its end.
func (c *client) do(ctx context.Context, a *arrival) outcome {
	intended := c.start.Add(a.at)
	o := outcome{sendLag: max(0, time.Since(intended))}
	ctx, cancel := context.WithDeadline(ctx, intended.Add(a.class.Timeout()+overdueGrace))
	defer cancel()

	p := prompt{}
	if !a.service() {
		p = newPrompt(c.salt, a)
	}
	req, err := c.request(ctx, a, p)
	if err != nil {
		o.status, o.reason = StatusTransport, reasonConnect
		return o
	}
	resp, err := c.http.Do(req)
	if err != nil {
		o.status, o.reason = transportStatus(ctx, reasonConnect)
	} else {
		c.read(ctx, a, p, resp, &o, intended)
		resp.Body.Close()
	}
	if o.total == 0 {
		o.total = time.Since(intended)
	}
	o.finished = a.at + o.total
	o.inTime = o.status == StatusFinished && o.total <= a.class.Timeout()
	return o
}

func transportStatus(ctx context.Context, reason string) (Status, string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return StatusOverdue, ""
	}
	return StatusTransport, reason
}

func (c *client) id(a *arrival) string { return fmt.Sprintf("load-%016x-%d", c.salt, a.index) }

func (c *client) request(ctx context.Context, a *arrival, p prompt) (*http.Request, error) {
	path, b, err := c.content(a, p)
	if err != nil {
		return nil, errors.Trace(err)
	}
	target := c.targets[a.index%len(c.targets)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+path, b.reader())
	if err != nil {
		return nil, errors.Annotatef(err, "step build request, peer %s", target)
	}
	req.ContentLength = b.length()
	req.GetBody = func() (io.ReadCloser, error) { return b.reader(), nil }
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", c.id(a))
	h.Set("X-Workspace", c.mix.Workspaces[a.workspace].Name)
	h.Set("X-Request-Timeout-Ms", strconv.FormatInt(a.class.TimeoutMS, 10))
	if a.keyed {
		h.Set("Idempotency-Key", c.id(a))
	}
	if a.service() {
		h.Set("X-Non-Idempotent", "true")
		// net/http resends a request with this header on a broken idle
		// connection. A call that must not run twice would then be sent
		// twice by us; without GetBody it can't be.
		req.GetBody = nil
	}
	return req, nil
}

func (c *client) content(a *arrival, p prompt) (path string, b body, err error) {
	switch a.class.Kind {
	case KindService:
		b, err = serviceBody(c.id(a))
		return "/services/" + a.class.Service + "/confirm", b, err
	case KindCompletion:
		b, err = completionBody(c.mix.Model, a, p)
		return "/v1/completions", b, err
	}
	b, err = chatBody(c.mix.Model, a, p)
	return "/v1/chat/completions", b, err
}
