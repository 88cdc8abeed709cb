package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/upstream"
)

// answer is a server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// passAnswer reads an answer that is no stream of events. One that breaks off, or
// says that the server failed, may be replaced by another server's.
func (e *exchange) passAnswer(ctx context.Context, r *upstream.Response) (step, Reason) {
	body, err := io.ReadAll(io.LimitReader(r.Body, answerBuffer+1))
	if err != nil {
		e.logAnswer(r.Status, "answer broke")
		return e.after(request.AttemptOutcome{Sent: true, Deadline: timeUp(ctx)})
	}
	a := &answer{status: r.Status, header: r.Header, body: body}
	if len(body) > answerBuffer {
		return e.passLong(a, r)
	}
	if isRetriable(r.Status) && e.route.Repeatable() {
		e.held = a
		e.logAnswer(r.Status, "server failed")
		return e.after(request.AttemptOutcome{Sent: true, Deadline: timeUp(ctx)})
	}
	a.deliver(e)
	return stop, ""
}

// deliver gives the caller the answer.
func (a *answer) deliver(e *exchange) {
	e.head(a.status, a.header, int64(len(a.body)))
	if _, err := e.writer.Write(a.body); err != nil {
		e.outcome = outcomeGone
		return
	}
	e.outcome = outcomeAnswered
}

// passLong passes on an answer that is too long to be held. From its head on, a
// break ends the caller's connection.
func (e *exchange) passLong(a *answer, r *upstream.Response) (step, Reason) {
	e.head(a.status, a.header, r.ContentLength)
	if _, err := e.writer.Write(a.body); err != nil {
		e.outcome = outcomeGone
		return stop, ""
	}
	if _, err := io.Copy(e.writer, r.Body); err != nil {
		e.breakOff()
	}
	e.outcome = outcomeAnswered
	return stop, ""
}

// head sends the head of a server's answer. length is -1 for a body whose end is
// not known before.
func (e *exchange) head(status int, from http.Header, length int64) {
	to := e.writer.Header()
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // or net/http would guess one
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
	to.Del("Content-Length")
	if length >= 0 {
		to.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	e.status = status
	e.firstOut = time.Now()
	e.gateway.tally.latency.Update(e.firstOut.Sub(e.begun).Milliseconds())
	e.writer.WriteHeader(status)
}

// splitList splits a header's comma-separated values.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
