package logqueue

import (
	"runtime"
	"testing"
)

// Guards against the loss of a refusal's log line under load. Requests succeed faster
// than their lines are read, and these lines fill the queue before one is refused.
func TestSamplerLeavesRoomForFailures(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	q := New(out, 10)
	s := NewSampler(q, 1e9)
	// Wait until the queue's writer has received one line and blocks in its write. If it
	// received a line during the loop below, one more line would be allowed, and Allow
	// would reset the count of skipped lines.
	_, _ = q.Write([]byte("taken\n"))
	for len(q.lines) > 0 {
		runtime.Gosched()
	}
	for range 100 {
		if _, ok := s.Allow(); ok {
			_, _ = q.Write([]byte("well\n"))
		}
	}
	if _, ok := s.Allow(); ok {
		t.Error("routine line allowed although the queue is more than half full")
	}
	const failures = 4
	for range failures {
		_, _ = q.Write([]byte("failure\n"))
	}
	if n := q.dropped.Load(); n > 0 {
		t.Errorf("%d log lines of failures were dropped", n)
	}
	close(out.release)
	q.Close()
	if skipped, ok := s.Allow(); !ok || skipped < 90 {
		t.Errorf("skipped %d, allowed %v", skipped, ok)
	}
}

func TestSamplerLimitsRate(t *testing.T) {
	q := New(&blockingWriter{release: make(chan struct{})}, 1000)
	s := NewSampler(q, 1)
	_, first := s.Allow()
	_, second := s.Allow()
	if !first || second {
		t.Errorf("at one line per second: first allowed %v, second allowed %v", first, second)
	}
}
