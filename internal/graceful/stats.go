package graceful

import (
	"time"

	"github.com/sirupsen/logrus"
)

// connStats counts the outcomes of the connections at shutdown.
type connStats struct {
	refused  int // were refused
	crossing int // refused, and had sent input that the refusal answered
	leftOpen int // refused, and not closed by the caller in time
	aborted  int // closed while a request was handled
	// unanswered connections were closed while the server waited for a request or the rest
	// of one.
	unanswered int
	received   int           // unanswered, and had sent input
	youngest   time.Duration // age of the youngest unanswered one
}

// addUnanswered counts a connection of the given age.
func (s *connStats) addUnanswered(age time.Duration, received bool) {
	if s.unanswered == 0 || age < s.youngest {
		s.youngest = age
	}
	s.unanswered++
	if received {
		s.received++
	}
}

// countUnfinished counts the connections that are closed without the response that their
// callers may wait for, and returns those on which a request is being handled.
func (s *Server) countUnfinished() (aborted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		switch phase, received := c.phase(); phase {
		case phaseHandling:
			s.stats.aborted++
		case phaseReading:
			s.stats.addUnanswered(now.Sub(c.opened), received)
		}
	}
	return s.stats.aborted
}

// logStats logs the outcomes of the connections, if there were any.
func (s *Server) logStats() {
	s.mu.Lock()
	e := s.stats
	s.mu.Unlock()
	if e == (connStats{}) {
		return
	}
	fields := logrus.Fields{
		"notified": e.refused, "crossed": e.crossing, "left_open": e.leftOpen, "cut": e.aborted, "unanswered": e.unanswered,
	}
	if e.unanswered > 0 {
		fields["unanswered_received"] = e.received
		fields["unanswered_youngest_ms"] = e.youngest.Milliseconds()
	}
	s.log.WithFields(fields).Info("connections ended")
}

func (s *Server) addStats(delta connStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.refused += delta.refused
	s.stats.crossing += delta.crossing
	s.stats.leftOpen += delta.leftOpen
}
