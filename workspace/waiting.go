package workspace

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Waiting implements Turns. It covers the queues by turns and those for windows.
func (s *Scheduler) Waiting() []Waiting {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var all []Waiting
	for key, q := range s.queues {
		for _, f := range q.flows {
			if f.waiting > 0 {
				all = append(all, f.summary(key, now))
			}
		}
	}
	return all
}

// summary returns what waits of the flow.
func (f *flow) summary(key queueKey, now time.Time) Waiting {
	sum := Waiting{Pool: key.pool, Class: key.class, Workspace: f.ws.name, Requests: f.waiting}
	f.each(func(w *waiter) {
		if w.isLate(now) {
			sum.Late++
		}
		sum.Oldest = max(sum.Oldest, now.Sub(w.queuedAt))
	})
	return sum
}

// each calls visit for each waiting request of the flow.
func (f *flow) each(visit func(*waiter)) {
	for _, s := range f.subjects {
		for _, queued := range s.queued {
			for _, w := range queued {
				visit(w)
			}
		}
	}
	t := f.queue.turns
	if t == nil {
		return
	}
	for _, w := range t.aside {
		if w.flow == f {
			visit(w)
		}
	}
	if t.holder != nil && t.holder.flow == f {
		visit(t.holder)
	}
}

// exportGauges registers gauges of what waits in a queue by turns.
func (s *Scheduler) exportGauges(key queueKey, q *queue) {
	gauges := map[string]func(sum Waiting) int64{
		"requests":  func(sum Waiting) int64 { return int64(sum.Requests) },
		"late":      func(sum Waiting) int64 { return int64(sum.Late) },
		"oldest_ms": func(sum Waiting) int64 { return sum.Oldest.Milliseconds() },
	}
	for name, value := range gauges {
		// An error would mean that the gauge is registered already.
		_ = s.metrics.Register(fmt.Sprintf("workspace.waiting.%s.%s.%s", name, key.pool, key.class.Name()),
			metrics.NewFunctionalGauge(func() int64 { return value(s.sum(key, q)) }))
	}
}

// sum returns what waits in a queue of all workspaces.
func (s *Scheduler) sum(key queueKey, q *queue) Waiting {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	sum := Waiting{Pool: key.pool, Class: key.class}
	for _, f := range q.flows {
		sum.add(f.summary(key, now))
	}
	return sum
}

// add adds what waits of another workspace.
func (w *Waiting) add(other Waiting) {
	w.Requests += other.Requests
	w.Late += other.Late
	w.Oldest = max(w.Oldest, other.Oldest)
}
