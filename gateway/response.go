package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/upstream"
)

// bufferedResponse is a server's complete response, held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayResponse relays a response that is not an event stream. If it breaks off or
// reports an error of the server, another server may be tried.
func (e *exchange) relayResponse(ctx context.Context, attempt *placedAttempt, r *upstream.Response) (nextStep, Reason) {
	body, whole, err := e.readBuffered(r.Body)
	if whole {
		err = e.confirmEnd(ctx, attempt, r, e.route.Repeatable())
	}
	if err != nil {
		e.logFailedResponse(r.Status, "answer broke")
		e.recordBreak(ctx, attempt, stageBody, err)
		return e.decideNext(request.AttemptOutcome{Sent: true, Deadline: requestEnded(ctx)})
	}
	a := &bufferedResponse{status: r.Status, header: r.Header, body: body}
	if !whole {
		return e.relayLongResponse(ctx, attempt, a, r)
	}
	if isRetryable(r.Status) && e.route.Repeatable() {
		e.lastFailure = a
		e.logFailedResponse(r.Status, "server failed")
		return e.decideNext(request.AttemptOutcome{Sent: true, Deadline: requestEnded(ctx)})
	}
	if r.Status < http.StatusInternalServerError {
		e.recordBegan(attempt)
	}
	a.writeTo(e)
	return stepDone, ""
}

// readBuffered reads a body up to its end, or until it is too long to be held. It reports whether
// the body is whole.
func (e *exchange) readBuffered(r io.Reader) (body []byte, whole bool, err error) {
	for len(body) <= maxBufferedResponse {
		body = grow(body, 1, maxBufferedResponse+1)
		if !e.held.resize(cap(body)) {
			return body, false, nil // all exchanges together hold enough
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, len(body) <= maxBufferedResponse, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// writeTo sends the response to the caller.
func (a *bufferedResponse) writeTo(e *exchange) {
	e.writeHead(a.status, a.header, int64(len(a.body)))
	if _, err := e.writer.Write(a.body); err != nil {
		e.outcome = outcomeCallerGone
		return
	}
	e.outcome = outcomeAnswered
}

// relayLongResponse relays a response that is too long to buffer. Once its head is sent,
// a break aborts the caller's connection.
func (e *exchange) relayLongResponse(ctx context.Context, attempt *placedAttempt, a *bufferedResponse, r *upstream.Response) (nextStep, Reason) {
	e.writeHead(a.status, a.header, r.ContentLength)
	if _, err := e.writer.Write(a.body); err != nil {
		e.outcome = outcomeCallerGone
		return stepDone, ""
	}
	a.body = nil // its memory is free while the rest is relayed
	e.held.resize(0)
	_, err := io.Copy(e.writer, r.Body)
	if err == nil {
		const repeatable = false // the caller has a part of the response
		err = e.confirmEnd(ctx, attempt, r, repeatable)
	}
	if err != nil {
		if errors.Is(err, upstream.ErrBroken) || errors.Is(err, errServerEnded) {
			e.recordBreak(ctx, attempt, stageBody, err)
		}
		e.abortResponse()
	}
	e.recordBegan(attempt)
	e.outcome = outcomeAnswered
	return stepDone, ""
}

// writeHead sends the head of a server's response. length is -1 for a body of unknown
// length.
func (e *exchange) writeHead(status int, from http.Header, length int64) {
	e.keepBeyondShutdown()
	to := e.writer.Header()
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // stops net/http from guessing one
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
	to.Del("Content-Length")
	if length >= 0 {
		to.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	e.status = status
	e.firstByteAt = time.Now()
	e.gateway.counters.firstByteLatency.Update(e.firstByteAt.Sub(e.startedAt).Milliseconds())
	e.writer.WriteHeader(status)
}

// splitList splits the comma-separated values of a header.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
