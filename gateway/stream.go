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
	// maxPendingBytes is the size of the largest buffer of an incomplete event.
	maxPendingBytes = maxEventBytes + readBufferSize
)

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
	scanned      int           // number of bytes of pending in complete lines that don't end the event
	relayed      int64         // bytes of the events that were sent
	useless      uselessBytes  // of the attempt
	buffer       []byte
}

func newStreamRelay(e *exchange) *streamRelay {
	return &streamRelay{exchange: e, buffer: make([]byte, readBufferSize)}
}

// hasEvents reports whether the caller got an event. It may be called on nil.
func (s *streamRelay) hasEvents() bool { return s != nil && s.events > 0 }

// relayStream relays a stream until it ends or breaks.
func (e *exchange) relayStream(ctx context.Context, attempt *placedAttempt, r *upstream.Response) (nextStep, Reason) {
	s := e.stream
	s.pending, s.scanned = s.pending[:0], 0
	s.useless = newUselessBytes(e.route, s.relayed)
	if s.headSent {
		e.gateway.counters.resumedStreams.Inc(1)
	}
	for {
		n, err := r.Body.Read(s.buffer)
		if n > 0 {
			s.pending = append(grow(s.pending, n, maxPendingBytes), s.buffer[:n]...)
			writeErr := s.forwardEvents(r, attempt)
			if errors.Is(writeErr, errMoved) {
				return e.handleBrokenStream(ctx, attempt, errMoved)
			}
			if writeErr != nil {
				e.outcome = outcomeCallerGone
				return stepDone, ""
			}
			if over := s.exceeded(r, n, time.Now()); over != nil {
				return e.handleBrokenStream(ctx, attempt, over)
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && len(s.pending) == 0 {
			err = e.confirmEnd(ctx, attempt, r, e.route.Repeatable())
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

// forwardEvents sends the caller the complete events in pending that it does not have yet. It
// returns errMoved if the attempt has moved to another server before its first event.
func (s *streamRelay) forwardEvents(r *upstream.Response, attempt *placedAttempt) error {
	sent := false
	for event := s.nextEvent(); event != nil; event = s.nextEvent() {
		if !attempt.watch.end() {
			return errMoved
		}
		if hasData(event) {
			s.exchange.recordBegan(attempt)
			s.useless.comments.Reset()
		}
		id, hasID := eventID(event)
		if !hasID || isNewer(id, s.lastEventID) {
			if err := s.writeEvent(event, r, attempt); err != nil {
				return err
			}
			if hasID {
				s.lastEventID = id
			}
			sent = true
		} else {
			s.useless.repeated.Add(len(event), time.Now())
		}
		s.pending, s.scanned = append(s.pending[:0], s.pending[len(event):]...), 0
	}
	if sent {
		return http.NewResponseController(s.exchange.writer).Flush()
	}
	return nil
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
	s.exchange.observeEvent(attempt, now)
	attempt.recordEvent()
	s.events++
	s.relayed += int64(len(event))
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

// nextEvent returns the first event in pending, with the empty line that ends it. It returns
// nil if that is not complete.
func (s *streamRelay) nextEvent() []byte {
	for {
		i := bytes.IndexByte(s.pending[s.scanned:], '\n')
		if i < 0 {
			return nil
		}
		line := bytes.TrimSuffix(s.pending[s.scanned:s.scanned+i], []byte{'\r'})
		s.scanned += i + 1
		if len(line) == 0 {
			return s.pending[:s.scanned]
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
