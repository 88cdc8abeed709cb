package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/upstream"
)

const (
	// eventRead is how much is read from a server at a time.
	eventRead = 8 << 10
	// eventMax bounds one event; a server that never ends one is taken for broken.
	eventMax = 1 << 20
)

// relay passes the events of a stream on, whole ones only: a server may stop in
// the middle of one, and what follows from another server begins with a whole one.
type relay struct {
	e       *exchange
	started bool   // the caller has the head
	lastID  string // of the last event that the caller got
	events  int
	last    time.Time     // when the last event went out
	longest time.Duration // longest pause between two events
	pending []byte        // bytes of an event that isn't whole yet
	buffer  []byte
}

func newRelay(e *exchange) *relay { return &relay{e: e, buffer: make([]byte, eventRead)} }

// passStream passes a stream on to its end or its break.
func (e *exchange) passStream(ctx context.Context, run *run, r *upstream.Response) (step, Reason) {
	s := e.stream
	s.pending = s.pending[:0]
	if s.started {
		e.gateway.tally.resumed.Inc(1)
	}
	for {
		n, err := r.Body.Read(s.buffer)
		if n > 0 {
			s.pending = append(s.pending, s.buffer[:n]...)
			sent, writeErr := s.forward(r, run)
			if writeErr != nil {
				e.outcome = outcomeGone
				return stop, ""
			}
			if !sent && len(s.pending) > eventMax {
				return e.broken(ctx)
			}
		}
		if err == io.EOF && len(s.pending) == 0 {
			return s.complete(r)
		}
		if err != nil {
			return e.broken(ctx)
		}
	}
}

// complete ends an answer in good order.
func (s *relay) complete(r *upstream.Response) (step, Reason) {
	if !s.started { // a stream without events
		s.begin(r)
	}
	s.e.outcome = outcomeAnswered
	return stop, ""
}

func (s *relay) begin(r *upstream.Response) {
	s.e.head(r.Status, r.Header, -1)
	s.started = true
}

// broken follows a stream that ended before its time.
func (e *exchange) broken(ctx context.Context) (step, Reason) {
	if e.incoming.Context().Err() != nil {
		e.outcome = outcomeGone
		e.gateway.tally.gone.Inc(1)
		if e.stream.started {
			panic(http.ErrAbortHandler)
		}
		return stop, ""
	}
	e.gateway.cfg.Log.WithFields(logrus.Fields{
		"request": e.env.ID, "server": e.server, "events": e.stream.events, "behind": e.stream.lastID, "deadline": timeUp(ctx),
	}).Info("stream broke")
	return e.after(request.AttemptOutcome{Sent: true, Deadline: timeUp(ctx)})
}

// forward gives the caller the whole events in pending that it hasn't got yet.
func (s *relay) forward(r *upstream.Response, run *run) (sent bool, err error) {
	for {
		end := eventEnd(s.pending)
		if end < 0 {
			break
		}
		event := s.pending[:end]
		id, has := eventID(event)
		if !has || isNewer(id, s.lastID) {
			if err := s.write(event, r, run); err != nil {
				return sent, err
			}
			if has {
				s.lastID = id
			}
			sent = true
		}
		s.pending = append(s.pending[:0], s.pending[end:]...)
	}
	if sent {
		return true, http.NewResponseController(s.e.writer).Flush()
	}
	return false, nil
}

func (s *relay) write(event []byte, r *upstream.Response, run *run) error {
	now := time.Now()
	if !s.started {
		s.begin(r)
	}
	if s.events > 0 {
		s.longest = max(s.longest, now.Sub(s.last))
	}
	s.last = now
	run.event()
	s.events++
	_, err := s.e.writer.Write(event)
	return err
}

// eventEnd returns the index behind the first whole event: up to and with the
// empty line that ends it. It is -1 if there is none.
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

var idField = []byte("id:")

// eventID returns the id of an event, where it has one.
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

// isNewer reports whether an event comes behind the last one. Ids rise; those that
// are no numbers are only told apart.
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
