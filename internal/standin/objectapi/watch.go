package objectapi

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/objectapi"
)

// watchCharge is how often a waiting watch is charged one read.
const watchCharge = time.Second

// Watch implements objectapi.Store. An empty answer carries the present
// revision, so that a watch of quiet kinds doesn't fall behind the history.
func (m *Memory) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (objectapi.Listing, error) {
	if err := m.beginRead(ctx, callWatch); err != nil {
		return objectapi.Listing{}, errors.Annotate(err, "step watch")
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	charge := time.NewTicker(watchCharge)
	defer charge.Stop()
	for {
		out, changed, err := m.eventsAfter(kind, after)
		if err != nil || len(out.Objects) > 0 {
			return out, errors.Annotatef(err, "step watch after %d", after)
		}
		select {
		case <-changed:
		case <-charge.C:
			m.chargeWatch()
		case <-end.C:
			return out, nil
		case <-ctx.Done():
			return objectapi.Listing{}, errors.Annotate(errors.WithType(ctx.Err(), objectapi.ErrUnavailable), "step watch")
		}
	}
}

func (m *Memory) eventsAfter(kind string, after uint64) (objectapi.Listing, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return objectapi.Listing{}, nil, objectapi.ErrUnavailable
	}
	if m.faults.GapNext > 0 {
		m.faults.GapNext--
		return objectapi.Listing{}, nil, objectapi.ErrGap
	}
	number := objectapi.NumberOf(after)
	if objectapi.EraOf(after) != m.era || number < m.floor || number > m.revision {
		return objectapi.Listing{}, nil, objectapi.ErrGap
	}
	out := objectapi.Listing{Revision: m.revisionLocked()}
	first, _ := slices.BinarySearchFunc(m.history, number+1, func(o objectapi.Object, v uint64) int {
		return int(int64(o.Version) - int64(v))
	})
	for _, o := range m.history[first:] {
		if o.Kind == kind {
			out.Objects = append(out.Objects, m.withEraLocked(o))
		}
	}
	return out, m.changed, nil
}

// chargeWatch takes a read from the limit if one is left. At the limit the
// watches so crowd out other reads, as on the objects.
func (m *Memory) chargeWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.WatchSeconds++
	if m.limits.reads != nil {
		m.limits.reads.Allow()
	}
}
