// Package logqueue writes log lines asynchronously, through a bounded queue and one
// writer goroutine. If the reader of the log stops reading, the queue fills and further
// lines are dropped and counted, so that logging never blocks a request.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultCapacity is the maximum number of queued lines. At 300 bytes per line, a full
// queue holds 300 kB.
const DefaultCapacity = 1000

// Queue is an io.Writer that never blocks on the output. Each call of Write must pass
// one complete line.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex // held for reading in Write, so that Close waits for calls in progress
	closed bool
}

// New returns a Queue of at most lines queued lines and starts its writer, which
// writes to out.
func New(out io.Writer, lines int) *Queue {
	q := &Queue{lines: make(chan []byte, lines), done: make(chan struct{})}
	go q.run(out)
	return q
}

// Write queues a copy of one line. If the queue is full or closed, it drops and counts
// the line. It never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *Queue) run(out io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if n := q.dropped.Swap(0); n > 0 {
			// A failed write of the log can't be reported anywhere, so errors are ignored.
			_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		_, _ = out.Write(line)
	}
}

// Close writes the queued lines and stops the writer. It may be called more than once.
func (q *Queue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.done
}
