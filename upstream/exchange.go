package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/responsehead"
)

// Errors of an exchange. Test with errors.Is.
const (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrBroken means that the connection closed or carried no valid response. If
	// the request was sent, it may have run.
	ErrBroken = errors.ConstError("connection to backend server broke")
)

// maxStrayResponses is the number of responses to other requests that are skipped on
// a connection before the exchange fails.
const maxStrayResponses = 2

// maxInlineBody is the largest body, in bytes, that is written before the response
// is read. A larger body is written concurrently with reading, because a server may
// respond before it has read the body.
const maxInlineBody = 4 << 10

// Request is one HTTP request to a backend server.
type Request struct {
	Method string
	Target string // path and query exactly as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// MatchesResponse reports whether a response with this head belongs to this request.
	MatchesResponse func(status int, header http.Header) bool
}

// Response is the head of a response and a reader of its body. Callers must Close it.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of the body in bytes; -1 if the head doesn't give it.
	ContentLength int64
	// EndsWithConnection means that neither a length nor chunks mark the end of the body, but
	// only that of the connection.
	EndsWithConnection bool

	exchange *exchange
}

// exchange is one request on one connection.
type exchange struct {
	pool             *Pool
	address          string
	conn             *conn
	stopContextWatch func() bool // stops closing the connection when the context ends
	bodyResult       chan error  // result of writeBodyAsync; nil if the body was written inline
	unreadWatch      *time.Timer // starts watchUnread; nil if the body was written inline
	reusable         bool        // nothing unexpected happened on the connection
	raw              *http.Response
}

// Do sends a request and returns the head of its response. When ctx ends, the
// connection is closed immediately, also while the body is being read, so that the
// server drops the request. The error is ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	x := &exchange{pool: p, address: address, conn: c, reusable: true}
	x.stopContextWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err := x.roundTrip(r)
	if err != nil {
		x.finish(false)
		p.countLimit(err)
		return nil, errors.Annotatef(err, "step exchange, peer %s", address)
	}
	return response, nil
}

func (x *exchange) roundTrip(r *Request) (*Response, error) {
	if err := x.write(r); err != nil {
		return nil, err
	}
	skipped := &Quota{MaxBytes: maxOtherResponseBytes, MaxTime: maxUselessTime}
	for stray := 0; ; stray++ {
		raw, err := x.readHead(r.Method)
		if err != nil {
			return nil, errors.WithType(err, ErrBroken)
		}
		if r.MatchesResponse(raw.StatusCode, raw.Header) {
			x.raw = raw
			return x.response(raw), nil
		}
		// This is a second response to an earlier request. Returning it would give
		// one caller the response of another.
		x.reusable = false
		if stray == maxStrayResponses {
			return nil, errors.WithType(errors.New("responses to other requests"), ErrBroken)
		}
		x.conn.source.bound(LimitOtherResponse, skipped)
		if _, err := io.Copy(io.Discard, raw.Body); err != nil {
			return nil, errors.WithType(err, ErrBroken)
		}
	}
}

// write sends the head, together with a small body. Only a first write that wrote
// no byte proves that nothing was sent: the server may run a request whose
// connection fails later.
func (x *exchange) write(r *Request) error {
	var out bytes.Buffer
	if err := r.writeHead(&out); err != nil {
		return errors.WithType(err, ErrNotSent)
	}
	async := len(r.Body) > maxInlineBody
	if !async {
		out.Write(r.Body)
	}
	n, err := x.conn.Write(out.Bytes())
	if err != nil && n == 0 {
		return errors.WithType(err, ErrNotSent)
	}
	if err != nil {
		return errors.WithType(err, ErrBroken)
	}
	if async {
		x.writeBodyAsync(r.Body)
	}
	return nil
}

// writeBodyAsync writes the body in a goroutine, which ends at the latest when the
// connection is closed.
func (x *exchange) writeBodyAsync(body []byte) {
	x.bodyResult = make(chan error, 1)
	if tcp := x.conn.tcp; tcp != nil {
		x.unreadWatch = time.AfterFunc(unreadCheckDelay, func() { watchUnread(tcp) })
	}
	go func() {
		_, err := x.conn.Write(body)
		x.bodyResult <- err
	}()
}

// writeHead writes the request line and the header. It replaces the caller's framing
// headers by the length of the body.
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

// readHead reads the head of a final response and the interim responses before it. What follows the
// head has no limit.
func (x *exchange) readHead(method string) (*http.Response, error) {
	quota := &Quota{MaxBytes: maxHeadBytes, MaxTime: maxUselessTime}
	x.conn.source.bound(LimitHead, quota)
	defer x.conn.source.unbound()
	for {
		raw, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method, URL: &url.URL{}})
		if quota.Exhausted() && err != nil {
			return nil, x.conn.source.exhausted() // net/http may have parsed a part of a line
		}
		if err != nil {
			return nil, err
		}
		if !responsehead.IsInterim(raw.StatusCode) {
			return raw, responsehead.Check(raw.StatusCode, raw.Header)
		}
		x.conn.source.bound(LimitInterim, quota)
	}
}

func (x *exchange) response(raw *http.Response) *Response {
	return &Response{
		Status:             raw.StatusCode,
		Header:             raw.Header,
		Body:               &body{exchange: x, source: raw.Body},
		ContentLength:      raw.ContentLength,
		EndsWithConnection: !x.selfDelimited() && raw.Request.Method != http.MethodHead,
		exchange:           x,
	}
}

// body reads the response body. It marks the exchange as not reusable if a read
// fails before the end.
type body struct {
	exchange *exchange
	source   io.Reader
	sawEOF   bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.sawEOF = true
		return n, err
	}
	if err != nil {
		b.exchange.reusable = false
		err = errors.WithType(err, ErrBroken)
	}
	return n, err
}

// Close ends the exchange. The connection returns to the pool only if the response
// was read to its end, no data followed it, the whole request had been written, and
// the server keeps the connection open.
func (r *Response) Close() {
	b, _ := r.Body.(*body)
	r.exchange.finish(b.sawEOF)
}

func (x *exchange) finish(fullyRead bool) {
	interrupted := !x.stopContextWatch()
	if x.unreadWatch != nil {
		x.unreadWatch.Stop()
	}
	keep := fullyRead && !interrupted && x.reusable && x.bodyFullyWritten() && x.raw != nil && !x.raw.Close && x.selfDelimited()
	if !keep || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close() // unread data belongs to no request
		return
	}
	x.pool.put(x.address, x.conn, idleTimeout(x.raw.Header))
}

// selfDelimited reports whether the end of the response body is marked by a length
// or by chunked encoding and not by the end of the connection.
func (x *exchange) selfDelimited() bool {
	return x.raw.ContentLength >= 0 || len(x.raw.TransferEncoding) > 0
}

func (x *exchange) bodyFullyWritten() bool {
	if x.bodyResult == nil {
		return true
	}
	select {
	case err := <-x.bodyResult:
		return err == nil
	default:
		return false // the server responded early and hasn't read the rest yet
	}
}

// idleTimeout returns how long a connection may stay idle in the pool, from the
// server's Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(keepAliveFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultMaxIdle
}
