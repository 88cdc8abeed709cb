//go:build review

package main

import (
	"bufio"
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// connectTime is how long clients wait for a new connection.
const connectTime = time.Second

// attempt is one request of a client and what came of it.
type attempt struct {
	id, method, path string
	body             io.Reader // nil: none
	bodyBytes        int
	header           map[string]string
	deadline         time.Duration
	key              string // apiKey if empty

	sent     time.Time // when the request was written
	answered time.Time // when the answer was whole; zero if it never was
	status   int
	seal     string
	answer   []byte
	err      error
	conn     net.Conn // open, if the answer was whole and the connection is kept
}

func newAttemptID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// send sends the attempt on a new connection and reads the answer. The connection stays open if
// the node keeps it.
func (a *attempt) send(address string) {
	end := time.Now().Add(a.deadline)
	conn, err := net.DialTimeout("tcp4", address, connectTime)
	if err != nil {
		a.err = err
		return
	}
	a.sent = time.Now()
	_ = conn.SetDeadline(end)
	if err := a.write(conn); err != nil {
		a.err = err
		_ = conn.Close()
		return
	}
	keep := a.read(conn)
	if a.err != nil || !keep {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	a.conn = conn
}

func (a *attempt) write(conn net.Conn) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n",
		a.method, a.path, host, a.id, a.deadline.Milliseconds(), cmp.Or(a.key, apiKey))
	for name, value := range a.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if a.method == http.MethodPost {
		head.WriteString("Content-Length: " + strconv.Itoa(a.bodyBytes) + "\r\n")
	}
	head.WriteString("\r\n")
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return err
	}
	if a.body == nil {
		return nil
	}
	_, err := io.Copy(conn, a.body)
	return err
}

// read reads the answer and reports whether the node keeps the connection.
func (a *attempt) read(conn net.Conn) (keep bool) {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		return false
	}
	a.status, a.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
	a.answer, a.err = io.ReadAll(response.Body)
	if a.err == nil {
		a.answered = time.Now()
	}
	return !response.Close
}

func (a *attempt) String() string {
	took := "unanswered"
	if !a.answered.IsZero() {
		took = fmt.Sprintf("answered %d after %d ms, seal %q, %d bytes", a.status, a.answered.Sub(a.sent).Milliseconds(), a.seal, len(a.answer))
	} else if a.status != 0 {
		took = fmt.Sprintf("answer %d ended early, seal %q, %d bytes", a.status, a.seal, len(a.answer))
	}
	if a.err != nil {
		took += ", " + a.err.Error()
	}
	return fmt.Sprintf("%s %s %s %s", a.id, a.method, a.path, took)
}

// unansweredAt reports whether the attempt had no whole answer a time after it was sent.
func (a *attempt) unansweredAt(after time.Duration) bool {
	return !a.sent.IsZero() && (a.answered.IsZero() || a.answered.Sub(a.sent) > after)
}

// streamAttempt is a notice-draft with a body of so many bytes.
func streamAttempt(n int, body io.Reader, bodyBytes int) *attempt {
	return &attempt{
		id: newAttemptID(), method: http.MethodPost, path: streamPath + strconv.Itoa(n), deadline: 10 * time.Second,
		body: body, bodyBytes: bodyBytes,
		header: map[string]string{"X-Model": "m", "X-Token-Usage": "4960,688", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:4960", 1<<20+n)},
	}
}
