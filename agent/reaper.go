package agent

import (
	"context"
	"sync"
	"time"
)

// maxPendingCalls limits the calls that wait for an engine which doesn't
// respond. An engine with so many lost runs has to be restarted, which frees
// them all.
const maxPendingCalls = 4096

// reaper cancels runs and frees segments that the engine may still have, and
// retries until the engine confirms or restarts. A lost cancel would otherwise
// leave memory allocated forever.
type reaper struct {
	engine  Engine
	timeout time.Duration
	wakeup  chan struct{}

	mu       sync.Mutex // guards cancels and segments; no other lock is taken under it
	cancels  map[string]bool
	segments map[string]bool
}

func newReaper(engine Engine, timeout time.Duration) *reaper {
	return &reaper{
		engine:   engine,
		timeout:  timeout,
		wakeup:   make(chan struct{}, 1),
		cancels:  map[string]bool{},
		segments: map[string]bool{},
	}
}

func (p *reaper) cancel(id string)          { p.add(p.cancels, id) }
func (p *reaper) freeSegment(handle string) { p.add(p.segments, handle) }
func (p *reaper) add(set map[string]bool, id string) {
	p.mu.Lock()
	if len(set) < maxPendingCalls {
		set[id] = true
	}
	p.mu.Unlock()
	p.trigger()
}

// trigger has the worker process everything pending.
func (p *reaper) trigger() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// reset drops everything pending: the engine restarted and has none of it.
func (p *reaper) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cancels)
	clear(p.segments)
}

func (p *reaper) pending(set map[string]bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]string, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	return ids
}

func (p *reaper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wakeup:
			p.callPending(ctx, p.cancels, p.engine.Cancel)
			p.callPending(ctx, p.segments, p.engine.FreeSegment)
		}
	}
}

// callPending calls the engine for each pending ID and stops at the first
// failure; the next tick of Agent.maintain retries the rest.
func (p *reaper) callPending(ctx context.Context, set map[string]bool, call func(context.Context, string) error) {
	for _, id := range p.pending(set) {
		limited, cancel := context.WithTimeout(ctx, p.timeout)
		err := call(limited, id)
		cancel()
		if err != nil {
			return
		}
		p.mu.Lock()
		delete(set, id)
		p.mu.Unlock()
	}
}
