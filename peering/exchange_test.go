package peering

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/internal/quiet"
	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// entry is an Exchange over loopback with its ledger and quarantine tracker.
type entry struct {
	exchange    *Exchange
	ledger      *placement.Ledger
	quarantine  *quarantine.Tracker
	limits      *serverlimit.Table
	notices     *servernotice.Table
	lost        *lostservers.Table
	parts       *quarantine.PartTracker
	stop        context.CancelFunc
	entryCounts chan int
}

func startEntry(t *testing.T, store objectapi.Store, name string, incarnation uint64) *entry {
	t.Helper()
	return startEntryInZone(t, store, name, incarnation, "")
}

func startEntryInZone(t *testing.T, store objectapi.Store, name string, incarnation uint64, zone string) *entry {
	t.Helper()
	return startEntryWith(t, store, name, incarnation, func(c *Config) { c.Zone = zone })
}

// startEntryWith starts an entry with a changed Config.
func startEntryWith(t *testing.T, store objectapi.Store, name string, incarnation uint64, change func(*Config)) *entry {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	e := &entry{
		ledger:      placement.NewLedger(func(uint64) *placement.EngineProfile { return nil }),
		quarantine:  quarantine.NewTracker(quarantine.DefaultOptions),
		limits:      serverlimit.NewTable(),
		notices:     servernotice.NewTable(),
		lost:        lostservers.NewTable(incarnation),
		parts:       quarantine.NewPartTracker(quarantine.DefaultPartOptions),
		stop:        stop,
		entryCounts: make(chan int, 64),
	}
	cfg := Config{
		Name: name, ListenAddress: "127.0.0.1:0", Incarnation: incarnation, Store: store, Ledger: e.ledger, Quarantine: e.quarantine, Parts: e.parts, Limits: e.limits, Notices: e.notices, Lost: e.lost,
		OnEntriesChanged: func(names []string, _ bool) { e.entryCounts <- len(names) }, Log: quiet.Logger(), Metrics: metrics.NewRegistry(),
	}
	change(&cfg)
	x, err := Start(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	e.exchange = x
	go objectapi.NewWatcher(objectapi.WatcherConfig{Store: store, Kinds: []string{KindGateway}, Sink: x.PresenceSink()}).Run(ctx)
	t.Cleanup(func() { stop(); _ = x.Close() })
	return e
}

// waitFor polls ok until it returns true, for at most a minute.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// startAttempt records an attempt in the entry's ledger and publishes it, as a planner does.
func (e *entry) startAttempt(owner, seq uint64) placement.Attempt {
	w := placement.Attempt{
		ID: placement.AttemptID{Owner: owner, Seq: seq}, Server: 7, Helpers: []uint64{8, 9}, PartTime: time.Second, PartTokens: 10,
		MemoryTokens: 20, PauseObjective: time.Second, Weight: 3, Holders: []uint64{7, 8}, HolderTokens: 11,
	}
	e.ledger.Begin(w, time.Now())
	e.exchange.AttemptPublisher().Began(w)
	return w
}

func (e *entry) attemptsOf(owner uint64) int { return len(e.ledger.AttemptsOf(owner)) }

func TestAttemptsReachOtherEntries(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	waitFor(t, "b found a", func() bool { return <-b.entryCounts == 2 })
	w := a.startAttempt(1, 1)
	waitFor(t, "b receives the start", func() bool { return b.attemptsOf(1) == 1 })
	if got := b.ledger.AttemptsOf(1)[0]; got.Server != w.Server || got.MemoryTokens != w.MemoryTokens || got.HolderTokens != w.HolderTokens || len(got.Holders) != 2 {
		t.Errorf("b received %+v", got)
	}
	a.ledger.FirstToken(w.ID, time.Now())
	a.exchange.AttemptPublisher().FirstToken(w.ID)
	waitFor(t, "b receives the first token", func() bool { return b.ledger.AttemptsOf(1)[0].Decoding })
	a.ledger.End(w.ID)
	a.exchange.AttemptPublisher().Ended(w.ID)
	waitFor(t, "b receives the end", func() bool { return b.attemptsOf(1) == 0 })
}

// Guards against a starting entry that places its first prompts on busy engines, because
// its peers send only changes and not the attempts that are already active.
func TestNewEntryReceivesActiveAttempts(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a := startEntry(t, store, "a", 1)
	for seq := range uint64(10) {
		a.startAttempt(1, seq+1)
	}
	b := startEntry(t, store, "b", 2)
	waitFor(t, "b received all attempts", func() bool { return b.attemptsOf(1) == 10 })
}

// Guards against a starting entry that places prompts on busy engines for half a second:
// it has listed its peers, but the object API lists it to them only later, and until then
// they send it nothing.
func TestHelloTriggersSyncBeforeListing(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a := startEntry(t, store, "a", 1)
	waitFor(t, "a is listed", func() bool {
		l, err := store.List(t.Context(), KindGateway, "")
		return err == nil && len(l.Objects) == 1
	})
	for seq := range uint64(10) {
		a.startAttempt(1, seq+1)
	}
	listed, err := store.List(t.Context(), KindGateway, "")
	if err != nil {
		t.Fatal(err)
	}
	// b announces itself in another store, so that a finds b only through its hello.
	b := startEntry(t, memory.NewMemory(memory.Config{}), "b", 2)
	// The listing of its own store, which lacks a, must not follow that of the other one.
	waitFor(t, "b listed its own store", func() bool { return <-b.entryCounts == 1 })
	b.exchange.PresenceSink().Snapshot(KindGateway, listed)
	waitFor(t, "b received all attempts", func() bool { return b.attemptsOf(1) == 10 })
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
}

// Guards against sending updates to a process that is gone, because the listing or the
// hello always takes precedence. The object API lists an entry under the incarnation before
// its hello, then under that of its hello, then under a later one.
func TestHelloOverridesListingUntilListed(t *testing.T) {
	now := time.Now()
	withIncarnation := func(incarnation uint64) Peer { return Peer{Name: "b", Incarnation: incarnation} }
	hellos := map[string]receivedHello{"b": {peer: withIncarnation(2), receivedAt: now}}
	for i, step := range []struct {
		listed []Peer
		after  time.Duration
		want   uint64
	}{
		{nil, 0, 2},
		{[]Peer{withIncarnation(1)}, time.Second, 2},
		{[]Peer{withIncarnation(2)}, 2 * time.Second, 2},
		{[]Peer{withIncarnation(3)}, 3 * time.Second, 3},
	} {
		got := mergeHellos(step.listed, hellos, now.Add(step.after))
		if len(got) != 1 || got[0].Incarnation != step.want {
			t.Errorf("step %d: %+v, want incarnation %d", i, got, step.want)
		}
	}
	hellos["c"] = receivedHello{peer: Peer{Name: "c", Incarnation: 9}, receivedAt: now}
	if got := mergeHellos(nil, hellos, now.Add(helloTTL+time.Second)); len(got) != 0 || len(hellos) != 0 {
		t.Errorf("hello not expired: %+v", got)
	}
}

// Guards against engines that look busy for as long as an entry lives, because the datagram
// about the end of an attempt was lost. The heartbeat has to repair the loss.
func TestHeartbeatRepairsLostUpdate(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	w := a.startAttempt(1, 1)
	waitFor(t, "b receives the start", func() bool { return b.attemptsOf(1) == 1 })
	a.ledger.End(w.ID) // without publishing it
	waitFor(t, "b ends the attempt after a heartbeat", func() bool { return b.attemptsOf(1) == 0 })
}

func TestAttemptsOfSilentEntryExpire(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	a.startAttempt(1, 1)
	waitFor(t, "b receives the start", func() bool { return b.attemptsOf(1) == 1 })
	a.stop()
	waitFor(t, "b drops the attempts of the silent entry", func() bool { return b.attemptsOf(1) == 0 })
}

func TestServerDeathsReachOtherEntries(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a, b := startEntry(t, store, "a", 1), startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	for death := range uint64(quarantine.DefaultOptions.DeathThreshold) {
		record, _ := a.quarantine.RecordDeath(5, death+1, time.Now())
		a.exchange.DeathReporter().ReportDeath(record)
	}
	waitFor(t, "b refuses the fingerprint", func() bool { return b.quarantine.Verdict(5, time.Now()) == quarantine.Refuse })
}

// Guards against a restarted entry that its peers don't find: it was killed and starts at
// another address under the same name, and its old presence object blocks the new one.
func TestRestartedEntryIsFound(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	a := startEntry(t, store, "a", 1)
	old := startEntry(t, store, "b", 2)
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	old.stop()
	b := startEntry(t, store, "b", 3)
	a.startAttempt(1, 1)
	waitFor(t, "the restarted entry receives the attempt", func() bool { return b.attemptsOf(1) == 1 })
}

func TestPackedMessagesFitDatagrams(t *testing.T) {
	var began []placement.Attempt
	var ended []uint64
	for seq := range uint64(300) {
		began = append(began, placement.Attempt{ID: placement.AttemptID{Owner: 1, Seq: seq + 1<<30}, Server: 1, Helpers: make([]uint64, 15), Holders: make([]uint64, 8)})
		ended = append(ended, seq+1<<40)
	}
	messages := packMessages(1, began, ended, ended, time.Now())
	total := 0
	for _, m := range messages {
		if n := datagramSize(m); n > 1200 {
			t.Fatalf("%d bytes", n)
		}
		total += len(m.GetBegan()) + len(m.GetEnded())
	}
	if total != 600 {
		t.Errorf("%d updates, want 600", total)
	}
}

func datagramSize(m *wirepb.WorkNews) int {
	return proto.Size(&wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: m}})
}
