package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

const faultPath = "/standin/fault"

// relistenEvery is the pause between attempts to get the old port back.
const relistenEvery = 20 * time.Millisecond

// faultRequest is the body of POST /standin/fault.
type faultRequest struct {
	Fault  string  `json:"fault"` // die, hang, pause, slow, endless, recover
	ForMs  int64   `json:"for_ms"`
	Factor float64 `json:"factor"`
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f faultRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&f); err != nil {
		s.badRequest(w, err.Error())
		return
	}
	d := time.Duration(f.ForMs) * time.Millisecond
	switch f.Fault {
	case "die":
		// A dead engine has no listener, so over HTTP it needs a time to return.
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		s.DieFor(d)
	case "hang":
		s.Hang()
	case "pause":
		s.Pause(d)
	case "slow":
		s.Slow(f.Factor)
	case "endless":
		s.SendWithoutEnd()
	case "recover":
		s.Recover()
	default:
		s.badRequest(w, "unknown fault "+f.Fault)
	}
}

// Die drops all connections and everything the engine knew; connections are
// refused until Recover.
func (s *Server) Die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	s.counters.Killed++
	s.counters.Lost += int64(len(s.live))
	s.dieLocked()
}

// DieFor is Die, with Recover after d; zero means never by itself.
func (s *Server) DieFor(d time.Duration) {
	s.Die()
	if d > 0 {
		time.AfterFunc(d, s.Recover)
	}
}

// dieLocked is Die, not counted, for a caller that holds mu.
func (s *Server) dieLocked() {
	if s.dead {
		return
	}
	s.dead = true
	s.keepTotals()
	for q := range s.live {
		q.end(endDied)
	}
	close(s.died)
	s.reset()
	close(s.died)
	if s.http != nil {
		_ = s.http.Close()
	}
	s.unfreezeLocked()
}

// keepTotals carries the counters of a scheduler over to the next life.
func (s *Server) keepTotals() {
	s.counters.Output += s.sched.tokens
	s.counters.Prefilled += s.sched.prefills
	s.counters.PeakMemory = max(s.counters.PeakMemory, int64(s.sched.peak))
}

// Recover ends every fault. A dead engine comes back empty, on its old address,
// with another boot number.
func (s *Server) Recover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.slow = 1
	s.hangNext = false
	s.endless = false
	s.unfreezeLocked()
	if !s.dead || s.closed {
		return
	}
	if s.address == "" {
		s.reviveLocked()
		return
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(relistenEvery, s.Recover)
		return
	}
	s.reviveLocked()
	s.serve(l)
}

func (s *Server) reviveLocked() {
	s.dead = false
	s.boot++
	s.reset()
}

// Hang stops the engine without closing a connection, until Recover.
func (s *Server) Hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangLocked()
}

func (s *Server) hangLocked() {
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
}

// HangWithRun is Hang from the moment at which the next run is admitted, so that its
// memory stays taken: before, an agent may cancel a run that it doesn't know.
func (s *Server) HangWithRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangNext = true
}

// Pause is Hang for d, as of a process that is not scheduled.
func (s *Server) Pause(d time.Duration) {
	s.Hang()
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unfreezeLocked()
	})
}

func (s *Server) unfreezeLocked() {
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// endlessBytes is what the engine sends of an answer without end if its caller takes all of it. It
// is silent then.
const endlessBytes = 32 << 20

// SendWithoutEnd makes the engine answer all calls with a head that has no end, until Recover.
func (s *Server) SendWithoutEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endless = true
}

// answerWithoutEnd writes such a head, until the caller closes the connection.
func answerWithoutEnd(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	piece := bytes.Repeat([]byte("x"), 16<<10)
	sent, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Long: "))
	for n := 0; err == nil && sent < endlessBytes; sent += n {
		n, err = conn.Write(piece)
	}
	_, _ = io.Copy(io.Discard, conn) // until the caller closes it
}

// Slow multiplies the cost of each step; 1 is normal speed.
func (s *Server) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if factor > 0 {
		s.sched.slow = factor
	}
}

// kill is the death of an engine by a prompt that it can't survive.
func (s *Server) kill() {
	s.DieFor(s.cfg.RestartAfter)
}
