package workspace

import "time"

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
		sum.Oldest = max(sum.Oldest, now.Sub(w.arrivedAt))
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
