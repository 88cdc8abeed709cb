package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/upstream"
)

const (
	// readBufferSize is the number of bytes that are read from a server at a time.
	readBufferSize = 8 << 10
	// maxEventBytes is the size in bytes above which an event that has not ended makes
	// the stream count as broken.
	maxEventBytes = 1 << 20
)

// errEventTooLong means that a server sent an event of more than maxEventBytes.
const errEventTooLong = errors.ConstError("event too long")

// streamRelay relays the events of a stream. It sends complete events only: a server may
// stop in the middle of one, and the stream that another server resumes begins with a
// complete one.
type streamRelay struct {
	exchange     *exchange
	headSent     bool   // the caller has the response head
	lastEventID  string // of the last event that the caller got
	events       int
	lastEventAt  time.Time     // when the last event was sent
	longestPause time.Duration // longest pause between two events
	pending      []byte        // bytes of an incomplete event
	buffer       []byte
}

func newStreamRelay(e *exchange) *streamRelay {
	return &streamRelay{exchange: e, buffer: make([]byte, readBufferSize)}
}

// relayStream relays a stream until it ends or breaks.
func (e *exchange) relayStream(ctx context.Context, attempt *placedAttempt, r *upstream.Response) (nextStep, Reason) {
	s := e.stream
	s.pending = s.pending[:0]
	if s.headSent {
		e.gateway.counters.resumedStreams.Inc(1)
	}
	for {
		n, err := r.Body.Read(s.buffer)
		if n > 0 {
			s.pending = append(s.pending, s.buffer[:n]...)
			if eventEnd(s.pending) >= 0 && !attempt.watch.end() {
				return e.handleBrokenStream(ctx, attempt, errMoved)
			}
			sent, writeErr := s.forwardEvents(r, attempt)
			if writeErr != nil {
				e.outcome = outcomeCallerGone
				return stepDone, ""
			}
			if !sent && len(s.pending) > maxEventBytes {
				return e.handleBrokenStream(ctx, attempt, errEventTooLong)
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && len(s.pending) == 0 {
			err = e.confirmEnd(ctx, attempt, r)
		}
		if err != nil {
			return e.handleBrokenStream(ctx, attempt, err)
		}
		if !attempt.watch.end() {
			return e.handleBrokenStream(ctx, attempt, errMoved)
		}
		e.recordBegan(attempt)
		return s.complete(r)
	}
}

// complete ends a response normally.
func (s *streamRelay) complete(r *upstream.Response) (nextStep, Reason) {
	if !s.headSent { // a stream without events
		s.sendHead(r)
	}
	s.exchange.outcome = outcomeAnswered
	return stepDone, ""
}

func (s *streamRelay) sendHead(r *upstream.Response) {
	s.exchange.writeHead(r.Status, r.Header, -1)
	s.headSent = true
}

// handleBrokenStream handles a stream that ended early because of err.
func (e *exchange) handleBrokenStream(ctx context.Context, attempt *placedAttempt, err error) (nextStep, Reason) {
	if e.incoming.Context().Err() != nil {
		e.outcome = outcomeCallerGone
		e.gateway.counters.callersGone.Inc(1)
		e.recordBreak(ctx, attempt, stageStream, err)
		if e.stream.headSent {
			panic(http.ErrAbortHandler)
		}
		return stepDone, ""
	}
	if !movedAway(ctx) { // a move has a line of its own
		e.gateway.cfg.Log.WithFields(logrus.Fields{
			"request": e.info.ID, "server": e.serverAddress, "events": e.stream.events, "behind": e.stream.lastEventID, "deadline": requestEnded(ctx),
		}).Info("stream broke")
	}
	e.recordBreak(ctx, attempt, stageStream, err)
	return e.decideNext(request.AttemptOutcome{Sent: true, Deadline: requestEnded(ctx)})
}

// forwardEvents sends the caller the complete events in pending that it does not have
// yet, and reports whether there were any.
func (s *streamRelay) forwardEvents(r *upstream.Response, attempt *placedAttempt) (sent bool, err error) {
	for {
		end := eventEnd(s.pending)
		if end < 0 {
			break
		}
		event := s.pending[:end]
		if hasData(event) {
			s.exchange.recordBegan(attempt)
		}
		id, hasID := eventID(event)
		if !hasID || isNewer(id, s.lastEventID) {
			if err := s.writeEvent(event, r, attempt); err != nil {
				return sent, err
			}
			if hasID {
				s.lastEventID = id
			}
			sent = true
		}
		s.pending = append(s.pending[:0], s.pending[end:]...)
	}
	if sent {
		return true, http.NewResponseController(s.exchange.writer).Flush()
	}
	return false, nil
}

func (s *streamRelay) writeEvent(event []byte, r *upstream.Response, attempt *placedAttempt) error {
	now := time.Now()
	if !s.headSent {
		s.sendHead(r)
	}
	if s.events > 0 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	attempt.recordEvent()
	s.events++
	_, err := s.exchange.writer.Write(event)
	return err
}

// recordBegan records that the server of an attempt responds with content.
func (e *exchange) recordBegan(attempt *placedAttempt) {
	if !attempt.began {
		attempt.began = true
		e.clearParts()
	}
}

// hasData reports whether an event carries data. Servers may send comments before they begin.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}

// eventEnd returns the index after the first complete event, whose last part is the empty
// line that ends it. It returns -1 if there is none.
func eventEnd(b []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return -1
		}
		line := bytes.TrimSuffix(b[from:from+i], []byte{'\r'})
		from += i + 1
		if len(line) == 0 {
			return from
		}
	}
}

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// eventID returns the ID of an event and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		return string(bytes.TrimSpace(value)), true
	}
	return "", false
}

// isNewer reports whether an event follows the last one. Numeric IDs increase; other IDs
// are only compared for equality.
func isNewer(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
