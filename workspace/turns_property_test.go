package workspace

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/request"
)

// turnModel plays random events on queues by turns, without goroutines.
type turnModel struct {
	s       *Scheduler
	now     time.Time
	timers  []timer
	calls   []*turn // in the queue
	running []Ticket
}

func newTurnModel(entries int) *turnModel {
	m := &turnModel{now: time.Unix(1_000, 0)}
	m.s = NewScheduler(Options{Now: func() time.Time { return m.now }, Rand: func() float64 { return 0.5 }})
	m.s.SetEntries(entries)
	m.s.afterFunc = func(d time.Duration, call func()) { m.timers = append(m.timers, timer{m.now.Add(d), call}) }
	return m
}

// arrive queues a random item.
func (m *turnModel) arrive(t *rapid.T) {
	it := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), rapid.Int64Range(1, 300).Draw(t, "cost"), time.Second)
	it.Class = rapid.SampledFrom([]request.Class{request.ClassShort, request.ClassHuge}).Draw(t, "class")
	it.Subject = rapid.Uint64Range(0, 2).Draw(t, "subject")
	if left := rapid.IntRange(0, 3).Draw(t, "seconds on time"); left > 0 {
		it.OnTimeUntil = m.now.Add(time.Duration(left-1) * time.Second)
	}
	if left := rapid.IntRange(0, 9).Draw(t, "seconds left"); left > 0 {
		it.Deadline = m.now.Add(time.Duration(left) * time.Second)
	}
	w, f := m.s.enqueueIn(queueKey{pool: "p", class: it.Class, byTurns: true}, it)
	if f == nil {
		m.calls = append(m.calls, &turn{scheduler: m.s, waiter: w})
	}
}

// pass lets time pass and does what goroutines and timers of the waiting items do then.
func (m *turnModel) pass(d time.Duration) {
	m.now = m.now.Add(d)
	due := m.timers
	m.timers = nil
	for _, timer := range due {
		timer.call() // at the latest: time only passes in steps of at least maxYield
	}
	for _, c := range m.calls {
		if c.waiter.state == waiting && c.waiter.expired(m.now) {
			m.s.refuseIfWaiting(c.waiter, ReasonDeadline)
		}
	}
}

// forget drops the items that have left the queue.
func (m *turnModel) forget() {
	var left []*turn
	for _, c := range m.calls {
		if c.waiter.state != refused && !c.ended {
			left = append(left, c)
		}
	}
	m.calls = left
}

// holders returns the items that have the turn.
func (m *turnModel) holders() []*turn {
	var holders []*turn
	for _, c := range m.calls {
		if c.waiter.state == granted {
			holders = append(holders, c)
		}
	}
	return holders
}

// check checks what must hold after each event.
func (m *turnModel) check(t *rapid.T) {
	held := map[request.Class]int{}
	for _, c := range m.holders() {
		held[c.waiter.Class]++
	}
	waits, running := m.s.Depth()
	if waits != len(m.calls) || running != len(m.running) {
		t.Fatalf("%d wait and %d run, counted %d and %d", len(m.calls), len(m.running), waits, running)
	}
	for key, q := range m.s.queues {
		if held[key.class] > 1 {
			t.Fatalf("%d requests of %v have the turn", held[key.class], key)
		}
		if q.running < 0 || q.waiting < 0 || q.tokens < 0 || q.queued[onTime] < 0 || q.queued[late] < 0 || q.turns.usageSum < -1e-6 {
			t.Fatalf("negative count: %+v", q)
		}
		idle := q.turns.holder == nil && len(q.turns.aside) == 0 && !q.turns.yielding
		if idle && q.waiting > 0 {
			t.Fatalf("lost wake-up: %d requests wait, none has the turn and none will look again", q.waiting)
		}
	}
}

// Checks for random events that a queue has one turn at most, that somebody has it or will look
// again while requests wait, that no count is negative, and that nothing is left in the end.
func TestTurnsKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTurnModel(rapid.IntRange(1, 3).Draw(t, "entries"))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			m.event(t)
			m.forget()
			m.check(t)
		}
		m.finish(t)
	})
}

// event plays one random event.
func (m *turnModel) event(t *rapid.T) {
	holders := m.holders()
	switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
	case event <= 2:
		m.arrive(t)
	case event == 3:
		m.s.RoomFreed("p")
	case event == 4:
		m.s.RecordPeerStart("p", 0, uint32(rapid.IntRange(0, 3).Draw(t, "key")), 100)
	case event == 5:
		m.pass(maxYield + time.Duration(rapid.IntRange(0, 2_000).Draw(t, "ms"))*time.Millisecond)
	case event == 6 && len(m.running) > 0:
		m.running[0].Release(50)
		m.running[0].Release(50)
		m.running = m.running[1:]
	case event == 7 && len(m.calls) > 0:
		c := m.calls[rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")]
		m.s.refuseIfWaiting(c.waiter, ReasonCancelled)
		m.s.lookAgain(c.waiter)
	case event >= 8 && len(holders) > 0:
		m.endTurn(t, holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")])
	}
}

func (m *turnModel) endTurn(t *rapid.T, c *turn) {
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		m.running = append(m.running, c.Started())
		if c.Started() != (Ticket{}) {
			t.Fatal("started twice")
		}
	case 1:
		c.putAside()
	case 2:
		c.Leave()
		c.Leave()
	}
}

// finish ends all that runs and waits. Each request that waits has a turn on the way.
func (m *turnModel) finish(t *rapid.T) {
	for steps := 0; len(m.calls) > 0; steps++ {
		if steps > 10_000 {
			t.Fatalf("%d requests wait for their turn though all others have ended theirs", len(m.calls))
		}
		for _, c := range m.holders() {
			m.running = append(m.running, c.Started())
		}
		m.s.RoomFreed("p")
		m.pass(maxYield)
		m.forget()
	}
	for _, ticket := range m.running {
		ticket.Release(50)
	}
	m.running = nil
	m.check(t)
	m.pass(20 * usageHalfLife)
	for key, q := range m.s.queues {
		m.s.EstimatedWait(Item{Pool: key.pool, Class: key.class})
		q.nextFlow()
		if len(q.flows)+len(q.turns.flows)+len(q.turns.usages) > 0 || q.tokens != 0 {
			t.Fatalf("left: %+v, %+v", q, q.turns)
		}
	}
}
