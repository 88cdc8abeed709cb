// Package logqueue writes log lines behind the back of those who log: a bounded
// queue and one writer. A reader of the log that stops reading fills the queue, and
// lines are then dropped and counted; it never holds up a request.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultCapacity is how many lines wait at most. At 300 bytes a line it is 300 kB.
const DefaultCapacity = 1000

// Queue is an io.Writer that never blocks. Each Write is one whole line.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex // held shared by writers, so that Close ends after them
	closed bool
}

// New starts a Queue that writes to out.
func New(out io.Writer, lines int) *Queue {
	q := &Queue{lines: make(chan []byte, lines), done: make(chan struct{})}
	go q.run(out)
	return q
}

// Write takes one line, or drops and counts it if the queue is full.
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
			// Where the log itself can't be written there is nowhere to say so.
			_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		_, _ = out.Write(line)
	}
}

// Close writes what waits and ends the writer.
func (q *Queue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.done
}
