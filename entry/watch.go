package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
)

// stallTime is how long an attempt must have been silent before the death of
// its server ends it.
const stallTime = 5 * time.Second

// errServerDead: the server is dead by what other observers say, and the attempt
// on it is silent.
const errServerDead = errors.ConstError("backend server is dead")

// watched is an attempt that has been admitted.
type watched struct {
	server      string
	incarnation uint64 // of the agent that admitted it, 0 if it didn't say
	heard       atomic.Int64
	cancel      context.CancelCauseFunc
}

func (w *watched) hear(now time.Time) { w.heard.Store(now.UnixNano()) }

// watchList holds the attempts in progress. mu guards them and is taken last.
type watchList struct {
	mu       sync.Mutex
	attempts map[*watched]struct{}
}

func (l *watchList) add(w *watched) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = map[*watched]struct{}{}
	}
	l.attempts[w] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.attempts, w)
	}
}

// silent returns the attempts that have said nothing since a time.
func (l *watchList) silent(since time.Time) []*watched {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*watched
	for w := range l.attempts {
		if w.heard.Load() <= since.UnixNano() {
			out = append(out, w)
		}
	}
	return out
}

// CancelStalledAttempts ends the silent attempts on servers that are dead, or whose agent
// has restarted since, so that they are tried elsewhere. Call it about once a
// second, behind the table's Sweep.
//
// A VM that is paused, or cut off in one direction, keeps its connections open:
// its requests would wait for their whole time limit and then fail, while other
// servers have room. Only attempts that may be repeated are ended; for the
// others a late answer is better than none.
func (e *Entry) CancelStalledAttempts(now time.Time) (ended int) {
	for _, w := range e.watch.silent(now.Add(-stallTime)) {
		row, known := e.cfg.Servers.Lookup(w.server)
		if !known || !gone(&row, w.incarnation) {
			continue
		}
		w.cancel(errServerDead)
		ended++
	}
	return ended
}

func gone(row *backend.Row, incarnation uint64) bool {
	return row.State == backend.StateDead || incarnation != 0 && row.Incarnation > incarnation
}
