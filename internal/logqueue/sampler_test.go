package logqueue

import (
	"runtime"
	"testing"
)

// Symptom: the line of a refusal is missing from the log of a busy hour.
// Sequence: requests succeed faster than their lines are read; one is refused.
// Cause: the lines of the successes had filled the queue.
func TestSamplerLeavesRoomForFailures(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	q := New(out, 10)
	s := NewSampler(q, 1e9)
	// The queue's writer takes one line and is stuck with it. Taken in the middle of what
	// follows, it would let one more pass, which takes over the count of those before.
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
		t.Error("routine lines may fill the queue")
	}
	const failures = 4
	for range failures {
		_, _ = q.Write([]byte("failure\n"))
	}
	if n := q.dropped.Load(); n > 0 {
		t.Errorf("%d lines of failures were dropped", n)
	}
	close(out.release)
	q.Close()
	if skipped, ok := s.Allow(); !ok || skipped < 90 {
		t.Errorf("skipped %d, allowed %v", skipped, ok)
	}
}

func TestSamplerBoundsTheRate(t *testing.T) {
	q := New(&stuck{release: make(chan struct{})}, 1000)
	s := NewSampler(q, 1)
	_, first := s.Allow()
	_, second := s.Allow()
	if !first || second {
		t.Errorf("first %v, second %v of one line a second", first, second)
	}
}
