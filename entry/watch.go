package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
)

// stallTimeout is how long an attempt must have received nothing before it is
// cancelled because its server is dead.
const stallTimeout = 5 * time.Second

// errServerDead is the cancellation cause of a stalled attempt whose server is
// dead, or whose agent has restarted, according to the server table.
const errServerDead = errors.ConstError("backend server is dead")

// watchedAttempt is an attempt that has been admitted.
type watchedAttempt struct {
	server       string
	incarnation  uint64 // of the agent that admitted it, 0 if not reported
	lastReceived atomic.Int64
	cancel       context.CancelCauseFunc
}

func (w *watchedAttempt) touch(now time.Time) { w.lastReceived.Store(now.UnixNano()) }

// watchList holds the admitted attempts that may be retried. No other lock is
// acquired while mu is held.
type watchList struct {
	mu       sync.Mutex
	attempts map[*watchedAttempt]struct{}
}

func (l *watchList) add(w *watchedAttempt) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = map[*watchedAttempt]struct{}{}
	}
	l.attempts[w] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.attempts, w)
	}
}

// silentSince returns the attempts that have received nothing since the given
// time.
func (l *watchList) silentSince(since time.Time) []*watchedAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*watchedAttempt
	for w := range l.attempts {
		if w.lastReceived.Load() <= since.UnixNano() {
			out = append(out, w)
		}
	}
	return out
}

// CancelStalledAttempts cancels the stalled attempts on servers that are dead,
// or whose agent has restarted since, so that they are retried on other
// servers. Call it about once a second, after the table's Sweep.
//
// A VM that is paused, or unreachable in one direction, keeps its connections
// open: without this its requests would wait for their whole time limit and
// then fail, although other servers have capacity. Only idempotent attempts
// are cancelled, since for the others a late answer is better than none.
func (e *Entry) CancelStalledAttempts(now time.Time) (ended int) {
	for _, w := range e.watch.silentSince(now.Add(-stallTimeout)) {
		row, known := e.cfg.Servers.Lookup(w.server)
		if !known || !deadOrRestarted(&row, w.incarnation) {
			continue
		}
		w.cancel(errServerDead)
		ended++
	}
	return ended
}

func deadOrRestarted(row *backend.Row, incarnation uint64) bool {
	return row.State == backend.StateDead || incarnation != 0 && row.Incarnation > incarnation
}
