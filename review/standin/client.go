//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is one client with one kept connection. It sends one request at a time.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, reader: bufio.NewReader(c)}, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// result is what a client saw of one request.
type result struct {
	id       string
	sent     time.Time // when the last byte was sent
	ended    time.Time
	status   int // 0: no head came
	seal     string
	body     string
	complete bool  // the head and the whole body came
	err      error // how the connection ended otherwise
	closes   bool  // the answer names Connection: close
}

// do sends a request and reads its answer.
func (c *client) do(method, path, body string, headers map[string]string, deadline time.Duration) result {
	r := result{id: headers["X-Attempt-Id"]}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: roster.example\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n", method, path, deadline.Milliseconds(), len(body))
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 3*time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		r.sent, r.ended, r.err = time.Now(), time.Now(), err
		return r
	}
	r.sent = time.Now()
	c.readAnswer(method, &r)
	return r
}

// readAnswer reads the answer to a request that was sent.
func (c *client) readAnswer(method string, r *result) {
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.ended, r.err = time.Now(), err
		return
	}
	r.status, r.seal, r.closes = answer.StatusCode, answer.Header.Get("X-Response-Seal"), answer.Close
	data, err := io.ReadAll(answer.Body)
	r.ended, r.body, r.err, r.complete = time.Now(), string(data), err, err == nil
}

func (r result) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer: %v", r.err)
	}
	s := fmt.Sprintf("status %d, seal %q, %d bytes", r.status, r.seal, len(r.body))
	if !r.complete {
		s += fmt.Sprintf(", not complete: %v", r.err)
	}
	return s
}
