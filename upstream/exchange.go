package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Errors of an exchange. Test with errors.Is.
const (
	// ErrNotSent: no byte of the request left this process.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrBroken: the connection ended or carried what is no answer. If the request
	// was sent it may have run.
	ErrBroken = errors.ConstError("connection to backend server broke")
)

// strayAnswers is how many answers to other requests are skipped on a connection
// before it is given up.
const strayAnswers = 2

// directBody is the largest body that is written before the answer is read. A
// larger one is written beside, for a server may answer before it has read it.
const directBody = 4 << 10

// Request is one request as it goes to a backend server.
type Request struct {
	Method string
	Target string // path and query as the caller wrote them
	Host   string
	Header http.Header
	Body   []byte
	// MatchesResponse reports whether an answer with this head is to this request.
	MatchesResponse func(status int, header http.Header) bool
}

// Response is the head of an answer and its body to be read. Close it.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// ContentLength of the body; -1 if the head does not give it.
	ContentLength int64

	exchange *exchange
}

// exchange is one request on one connection.
type exchange struct {
	pool    *Pool
	address string
	conn    *conn
	stop    func() bool // ends the watch over the context
	written chan error  // result of a body that is written beside; nil if none is
	clean   bool        // the connection may be used again
	raw     *http.Response
}

// Do sends a request and returns the head of its answer. When ctx ends, the
// connection is closed, at once and also while the body is read: the server then
// drops the request. The error is ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	x := &exchange{pool: p, address: address, conn: c, clean: true}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err := x.run(r)
	if err != nil {
		x.end(false)
		return nil, errors.Annotatef(err, "step exchange, peer %s", address)
	}
	return response, nil
}

func (x *exchange) run(r *Request) (*Response, error) {
	if err := x.write(r); err != nil {
		return nil, err
	}
	for stray := 0; ; stray++ {
		raw, err := readHead(x.conn.reader, r.Method)
		if err != nil {
			return nil, errors.WithType(err, ErrBroken)
		}
		if r.MatchesResponse(raw.StatusCode, raw.Header) {
			x.raw = raw
			return x.response(raw), nil
		}
		// A second answer to an earlier request. Taken for ours, one caller would
		// read what was meant for another.
		x.clean = false
		if stray == strayAnswers {
			return nil, errors.WithType(errors.New("answers of other requests"), ErrBroken)
		}
		if _, err := io.Copy(io.Discard, raw.Body); err != nil {
			return nil, errors.WithType(err, ErrBroken)
		}
	}
}

// write sends the head, and with it a small body. Only a first write that took
// no byte proves that nothing left: the server may run a request whose
// connection fails later.
func (x *exchange) write(r *Request) error {
	var out bytes.Buffer
	if err := r.writeHead(&out); err != nil {
		return errors.WithType(err, ErrNotSent)
	}
	beside := len(r.Body) > directBody
	if !beside {
		out.Write(r.Body)
	}
	n, err := x.conn.Write(out.Bytes())
	if err != nil && n == 0 {
		return errors.WithType(err, ErrNotSent)
	}
	if err != nil {
		return errors.WithType(err, ErrBroken)
	}
	if beside {
		x.writeBeside(r.Body)
	}
	return nil
}

// writeBeside writes the body in a goroutine that ends with the connection.
func (x *exchange) writeBeside(body []byte) {
	x.written = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(body)
		x.written <- err
	}()
}

// writeHead writes the request line and the header, with the body's length in
// place of the caller's framing.
func (r *Request) writeHead(out *bytes.Buffer) error {
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	framing := map[string]bool{"Transfer-Encoding": true, "Content-Length": true}
	if err := r.Header.WriteSubset(out, framing); err != nil {
		return err
	}
	out.WriteString("\r\n")
	return nil
}

// readHead reads an answer's head and skips interim ones.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		raw, err := http.ReadResponse(r, &http.Request{Method: method, URL: &url.URL{}})
		if err != nil {
			return nil, err
		}
		interim := raw.StatusCode < http.StatusOK && raw.StatusCode != http.StatusSwitchingProtocols
		if !interim {
			return raw, nil
		}
	}
}

func (x *exchange) response(raw *http.Response) *Response {
	return &Response{
		Status:        raw.StatusCode,
		Header:        raw.Header,
		Body:          &body{exchange: x, from: raw.Body},
		ContentLength: raw.ContentLength,
		exchange:      x,
	}
}

// body marks its exchange as broken when it can't be read to its end.
type body struct {
	exchange *exchange
	from     io.Reader
	ended    bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err == io.EOF {
		b.ended = true
		return n, err
	}
	if err != nil {
		b.exchange.clean = false
		err = errors.WithType(err, ErrBroken)
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the answer was read to
// its end, nothing came behind it, the whole request was written before, and the
// server wants to keep it.
func (r *Response) Close() {
	b, _ := r.Body.(*body)
	r.exchange.end(b.ended)
}

func (x *exchange) end(whole bool) {
	interrupted := !x.stop()
	keep := whole && !interrupted && x.clean && x.bodyWritten() && x.raw != nil && !x.raw.Close && x.framed()
	if !keep || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close() // what is unread belongs to nobody
		return
	}
	x.pool.put(x.address, x.conn, keepFor(x.raw.Header))
}

// framed reports whether the answer had an end of its own, other than that of the
// connection.
func (x *exchange) framed() bool {
	return x.raw.ContentLength >= 0 || len(x.raw.TransferEncoding) > 0
}

func (x *exchange) bodyWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false // the server answered early and still has to read the rest
	}
}

// keepFor returns how long an idle connection may be used, from the server's
// Keep-Alive header.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(keepShare * float64(seconds) * float64(time.Second))
		}
	}
	return defaultKeep
}
