package peering

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/internal/quiet"
	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// entry is one end of an exchange over loopback.
type entry struct {
	exchange *Exchange
	ledger   *placement.Ledger
	suspects *quarantine.Tracker
	stop     context.CancelFunc
	entries  chan int
}

func startEntry(t *testing.T, store objectapi.Store, name string, incarnation uint64) *entry {
	t.Helper()
	return startEntryIn(t, store, name, incarnation, "")
}

func startEntryIn(t *testing.T, store objectapi.Store, name string, incarnation uint64, zone string) *entry {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	e := &entry{
		ledger:   placement.NewLedger(func(uint64) *placement.EngineProfile { return nil }),
		suspects: quarantine.NewTracker(quarantine.DefaultOptions),
		stop:     stop,
		entries:  make(chan int, 64),
	}
	x, err := Start(ctx, Config{
		Name: name, Zone: zone, ListenAddress: "127.0.0.1:0", Incarnation: incarnation, Store: store, Ledger: e.ledger, Quarantine: e.suspects,
		OnEntriesChanged: func(names []string, _ bool) { e.entries <- len(names) }, Log: quiet.Logger(), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	e.exchange = x
	go objectapi.NewWatcher(objectapi.WatcherConfig{Store: store, Kinds: []string{KindGateway}, Sink: x.PresenceSink()}).Run(ctx)
	t.Cleanup(func() { stop(); _ = x.Close() })
	return e
}

// await asks until ok, for a minute at most.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// begin notes a work on an entry and tells the others, as a planner does.
func (e *entry) begin(owner, seq uint64) placement.Attempt {
	w := placement.Attempt{
		ID: placement.AttemptID{Owner: owner, Seq: seq}, Server: 7, Helpers: []uint64{8, 9}, PartTime: time.Second, PartTokens: 10,
		MemoryTokens: 20, PauseObjective: time.Second, Weight: 3, Holders: []uint64{7, 8}, HolderTokens: 11,
	}
	e.ledger.Begin(w, time.Now())
	e.exchange.AttemptPublisher().Began(w)
	return w
}

func (e *entry) knows(owner uint64) int { return len(e.ledger.AttemptsOf(owner)) }

func TestEntriesHearOfEachOthersWork(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	await(t, "both found each other", func() bool { return <-a.entries == 2 })
	await(t, "both found each other", func() bool { return <-b.entries == 2 })
	w := a.begin(1, 1)
	await(t, "b hears what began", func() bool { return b.knows(1) == 1 })
	if got := b.ledger.AttemptsOf(1)[0]; got.Server != w.Server || got.MemoryTokens != w.MemoryTokens || got.HolderTokens != w.HolderTokens || len(got.Holders) != 2 {
		t.Errorf("b knows %+v", got)
	}
	a.ledger.FirstToken(w.ID, time.Now())
	a.exchange.AttemptPublisher().FirstToken(w.ID)
	await(t, "b hears of the first token", func() bool { return b.ledger.AttemptsOf(1)[0].Decoding })
	a.ledger.End(w.ID)
	a.exchange.AttemptPublisher().Ended(w.ID)
	await(t, "b hears of the end", func() bool { return b.knows(1) == 0 })
}

// Symptom: an entry that starts anew places its first prompts on busy engines.
// Sequence: others have work in progress; an entry starts.
// Cause: news tell of changes only.
func TestNewEntryHearsOfWorkInProgress(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a := startEntry(t, store, "a", 1)
	for seq := range uint64(10) {
		a.begin(1, seq+1)
	}
	b := startEntry(t, store, "b", 2)
	await(t, "b knows all", func() bool { return b.knows(1) == 10 })
}

// Symptom: an entry that starts places its first prompts on busy engines, for half a
// second. Sequence: others have work in progress; an entry starts that has listed them;
// the object API tells them of it later. Cause: until then nobody sends it anything.
func TestStartedEntryIsToldByThoseThatItKnows(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a := startEntry(t, store, "a", 1)
	await(t, "a is listed", func() bool {
		l, err := store.List(t.Context(), KindGateway, "")
		return err == nil && len(l.Objects) == 1
	})
	for seq := range uint64(10) {
		a.begin(1, seq+1)
	}
	listed, err := store.List(t.Context(), KindGateway, "")
	if err != nil {
		t.Fatal(err)
	}
	// What b writes of itself goes to another store, so that a hears of it from b alone.
	b := startEntry(t, memory.NewMemory(memory.Config{}), "b", 2)
	b.exchange.PresenceSink().Snapshot(KindGateway, listed)
	await(t, "b knows all", func() bool { return b.knows(1) == 10 })
	await(t, "a counts b", func() bool { return <-a.entries == 2 })
}

// Symptom: an entry's news go to a process that is gone. Sequence: it says who it is;
// the object API lists it in an earlier life, then in that one, then in a later one.
// Cause: the list, or the own word, always goes first.
func TestOwnWordStandsUntilTheListHasIt(t *testing.T) {
	now := time.Now()
	life := func(incarnation uint64) Peer { return Peer{Name: "b", Incarnation: incarnation} }
	hellos := map[string]introduced{"b": {peer: life(2), at: now}}
	for i, step := range []struct {
		listed []Peer
		after  time.Duration
		want   uint64
	}{
		{nil, 0, 2},
		{[]Peer{life(1)}, time.Second, 2},
		{[]Peer{life(2)}, 2 * time.Second, 2},
		{[]Peer{life(3)}, 3 * time.Second, 3},
	} {
		got := withHellos(step.listed, hellos, now.Add(step.after))
		if len(got) != 1 || got[0].Incarnation != step.want {
			t.Errorf("step %d: %+v, want incarnation %d", i, got, step.want)
		}
	}
	hellos["c"] = introduced{peer: Peer{Name: "c", Incarnation: 9}, at: now}
	if got := withHellos(nil, hellos, now.Add(helloKept+time.Second)); len(got) != 0 || len(hellos) != 0 {
		t.Errorf("kept for ever: %+v", got)
	}
}

// Symptom: engines look busy for as long as an entry lives.
// Sequence: the datagram that tells of an end is lost.
// Cause: nothing makes up for a lost one. The beat does.
func TestBeatMakesUpForLostNews(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	await(t, "both found each other", func() bool { return <-a.entries == 2 })
	w := a.begin(1, 1)
	await(t, "b hears what began", func() bool { return b.knows(1) == 1 })
	a.ledger.End(w.ID) // and nobody is told
	await(t, "b notices by the beat", func() bool { return b.knows(1) == 0 })
}

func TestSilentEntrysWorkIsForgotten(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	await(t, "both found each other", func() bool { return <-a.entries == 2 })
	a.begin(1, 1)
	await(t, "b hears what began", func() bool { return b.knows(1) == 1 })
	a.stop()
	await(t, "b notices the silence", func() bool { return b.knows(1) == 0 })
}

func TestDeathsAreKnownToAll(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	await(t, "both found each other", func() bool { return <-a.entries == 2 })
	for death := range uint64(quarantine.DefaultOptions.DeathThreshold) {
		record, _ := a.suspects.RecordDeath(5, death+1, time.Now())
		a.exchange.DeathReporter().ReportDeath(record)
	}
	await(t, "b refuses it", func() bool { return b.suspects.Verdict(5, time.Now()) == quarantine.Refuse })
}

// Symptom: an entry that restarted is not found by the others.
// Sequence: it dies without a word and starts at another address under its name.
// Cause: its old presence stood in the way of the new one.
func TestRestartedEntryIsFound(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a := startEntry(t, store, "a", 1)
	old := startEntry(t, store, "b", 2)
	await(t, "both found each other", func() bool { return <-a.entries == 2 })
	old.stop()
	b := startEntry(t, store, "b", 3)
	a.begin(1, 1)
	await(t, "the restarted one hears", func() bool { return b.knows(1) == 1 })
}

func TestPackFitsDatagrams(t *testing.T) {
	var began []placement.Attempt
	var ended []uint64
	for seq := range uint64(300) {
		began = append(began, placement.Attempt{ID: placement.AttemptID{Owner: 1, Seq: seq + 1<<30}, Server: 1, Helpers: make([]uint64, 15), Holders: make([]uint64, 8)})
		ended = append(ended, seq+1<<40)
	}
	messages := pack(1, began, ended, ended, time.Now())
	total := 0
	for _, m := range messages {
		if n := sizeOf(m); n > 1200 {
			t.Fatalf("%d bytes", n)
		}
		total += len(m.GetBegan()) + len(m.GetEnded())
	}
	if total != 600 {
		t.Errorf("%d pieces of news, want 600", total)
	}
}

func sizeOf(m *wirepb.WorkNews) int {
	return proto.Size(&wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: m}})
}
