package objectapi

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/objectapi"
)

// Faults says what goes wrong at present. The zero value is a healthy store.
type Faults struct {
	// Down refuses every call before it runs and ends waiting watches.
	Down bool `json:"down,omitempty"`
	// LatencyMS is added before each call runs, in milliseconds.
	LatencyMS int64 `json:"latency_ms,omitempty"`
	// LoseNext loses the answers of the next N writes that take effect.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseProbability loses the answer of a write that took effect, 0 to 1.
	LoseProbability float64 `json:"lose_probability,omitempty"`
	// GapNext answers the next N watches with objectapi.ErrGap.
	GapNext int `json:"gap_next,omitempty"`
	// ReadsPerSecond and WritesPerSecond refuse what exceeds them with
	// objectapi.ErrThrottled; 0 is no limit. One second's worth may come at once.
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	// VMListFrozen holds back changes of the VM list until it is false again.
	VMListFrozen bool `json:"vm_list_frozen,omitempty"`
}

// Counts is the tally of calls since the start, refused ones included.
type Counts struct {
	Get          int64 `json:"get"`
	List         int64 `json:"list"`
	Create       int64 `json:"create"`
	Update       int64 `json:"update"`
	Delete       int64 `json:"delete"`
	Watch        int64 `json:"watch"`
	WatchSeconds int64 `json:"watch_seconds"` // reads charged to waiting watches
	Throttled    int64 `json:"throttled"`
	AnswersLost  int64 `json:"answers_lost"`
}

// Reads returns what the platform counts as reads.
func (c Counts) Reads() int64 { return c.Get + c.List + c.Watch + c.WatchSeconds }

// Writes returns what the platform counts as writes.
func (c Counts) Writes() int64 { return c.Create + c.Update + c.Delete }

type call string

const (
	callGet    call = "get"
	callList   call = "list"
	callCreate call = "create"
	callUpdate call = "update"
	callDelete call = "delete"
	callWatch  call = "watch"
)

type limits struct{ reads, writes *rate.Limiter }

// SetFaults replaces the faults in force.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.ReadsPerSecond != m.faults.ReadsPerSecond {
		m.limits.reads = newLimit(f.ReadsPerSecond)
	}
	if f.WritesPerSecond != m.faults.WritesPerSecond {
		m.limits.writes = newLimit(f.WritesPerSecond)
	}
	m.faults = f
	if !f.VMListFrozen {
		m.thawLocked()
	}
	m.wakeLocked()
}

// Faults returns the faults in force; LoseNext and GapNext as still left.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Counts returns the calls so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

func newLimit(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// beginRead counts a read and returns the error it meets before it runs.
func (m *Memory) beginRead(ctx context.Context, c call) error {
	latency, err := m.admit(c)
	if err != nil {
		return err
	}
	if !sleep.For(ctx, latency) {
		return errors.WithType(ctx.Err(), objectapi.ErrUnavailable)
	}
	return nil
}

// beginWrite is beginRead for a write; late says that the caller's time ended
// during the latency, when the write was already on its way.
func (m *Memory) beginWrite(ctx context.Context, c call) (late bool, err error) {
	latency, err := m.admit(c)
	if err != nil {
		return false, err
	}
	return !sleep.For(ctx, latency), nil
}

func (m *Memory) admit(c call) (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countLocked(c)
	if m.faults.Down {
		return 0, objectapi.ErrUnavailable
	}
	limit := m.limits.reads
	if c == callCreate || c == callUpdate || c == callDelete {
		limit = m.limits.writes
	}
	if limit != nil && !limit.Allow() {
		m.counts.Throttled++
		return 0, objectapi.ErrThrottled
	}
	return time.Duration(m.faults.LatencyMS) * time.Millisecond, nil
}

func (m *Memory) countLocked(c call) {
	switch c {
	case callGet:
		m.counts.Get++
	case callList:
		m.counts.List++
	case callCreate:
		m.counts.Create++
	case callUpdate:
		m.counts.Update++
	case callDelete:
		m.counts.Delete++
	case callWatch:
		m.counts.Watch++
	}
}

func (m *Memory) loseAnswerLocked() bool {
	lost := false
	if m.faults.LoseNext > 0 {
		m.faults.LoseNext--
		lost = true
	} else if p := m.faults.LoseProbability; p > 0 {
		lost = m.rnd.Float64() < p
	}
	if lost {
		m.counts.AnswersLost++
	}
	return lost
}
