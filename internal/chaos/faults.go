package chaos

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/briarturn/briarturn/internal/dev"
	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	standinservice "github.com/briarturn/briarturn/internal/standin/service"
)

// Bounds of the times of a round.
const (
	minHold = 300 * time.Millisecond
	maxHold = 1500 * time.Millisecond
	maxGap  = 200 * time.Millisecond // between the two times of a pair
	maxRest = 600 * time.Millisecond // between rounds
	// replaceLimit is how long a replacement waits for its drain.
	replaceLimit = 35 * time.Second
)

// fault brings about one fault on a target that it draws, and returns what ends
// it, or nil if there was no target.
type fault func(b *bench, rnd *rand.Rand) (end func())

// catalog holds every kind of fault.
var catalog = map[string]fault{
	"entry-kill":       killEntry,
	"entry-replace":    replaceEntry,
	"agent-kill":       killAgent,
	"agent-replace":    replaceAgent,
	"engine-die":       onEngine(func(e *dev.Backend) { e.Engine.Die() }),
	"engine-hang":      onEngine(func(e *dev.Backend) { e.Engine.Hang() }),
	"engine-pause":     onEngine(func(e *dev.Backend) { e.Engine.Pause(maxHold) }),
	"engine-slow":      onEngine(func(e *dev.Backend) { e.Engine.Slow(10) }),
	"engine-poison":    poison,
	"service-die":      dieService,
	"service-lose":     onService(standinservice.Faults{LoseAnswer: 0.5}),
	"service-error":    onService(standinservice.Faults{Error: 0.3}),
	"service-slow":     onService(standinservice.Faults{SlowMs: 700}),
	"store-down":       onStore(func(f *standinobjectapi.Faults) { f.Down = true }),
	"store-slow":       onStore(func(f *standinobjectapi.Faults) { f.LatencyMS += 300 }),
	"store-lose":       onStore(func(f *standinobjectapi.Faults) { f.LoseProbability = 0.5 }),
	"store-gap":        onStore(func(f *standinobjectapi.Faults) { f.GapNext += 3 }),
	"vm-list-frozen":   onStore(func(f *standinobjectapi.Faults) { f.VMListFrozen = true }),
	"datagram-lose":    loseDatagrams,
	"datagram-double":  doubleDatagrams,
	"datagram-delay":   delayDatagrams,
	"operators-racing": raceOperators,
}

// Kinds returns the names of all faults.
func Kinds() []string { return slices.Sorted(maps.Keys(catalog)) }

// faultRounds brings about faults until ctx ends.
func (b *bench) faultRounds(ctx context.Context) {
	rnd := b.random(streamFaults)
	for ctx.Err() == nil {
		first := b.options.Faults[rnd.IntN(len(b.options.Faults))]
		second := b.options.Faults[rnd.IntN(len(b.options.Faults))]
		hold := minHold + time.Duration(rnd.Int64N(int64(maxHold-minHold)))
		b.options.Log.WithField("faults", first+", "+second).Debug("round")
		for range 2 {
			b.pair(ctx, rnd, first, second, hold)
			pause(ctx, time.Duration(rnd.Int64N(int64(maxGap))))
		}
		pause(ctx, time.Duration(rnd.Int64N(int64(maxRest))))
	}
}

// pair holds two faults at a time. Ends run side by side: a replaced entry's
// drain may have to wait for the other fault's end.
func (b *bench) pair(ctx context.Context, rnd *rand.Rand, first, second string, hold time.Duration) {
	var ends []func()
	for _, kind := range []string{first, second} {
		if end := catalog[kind](b, rnd); end != nil {
			b.count(kind)
			ends = append(ends, end)
		}
	}
	pause(ctx, hold)
	var group sync.WaitGroup
	for _, end := range ends {
		group.Go(end)
	}
	group.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// killEntry kills an entry, but not the last.
func killEntry(b *bench, rnd *rand.Rand) func() {
	i := rnd.IntN(len(b.targets))
	if len(b.fleet.LiveEntries()) < 2 || !b.fleet.KillEntry(i) {
		return nil
	}
	return func() { b.must(b.fleet.RestartEntry(i)) }
}

// replaceEntry begins to replace an entry, but not the last.
func replaceEntry(b *bench, rnd *rand.Rand) func() {
	i := rnd.IntN(len(b.targets))
	if len(b.fleet.LiveEntries()) < 2 {
		return nil
	}
	return b.inBackground(func(ctx context.Context) { _ = b.fleet.ReplaceEntry(ctx, i) })
}

func (b *bench) inBackground(f func(ctx context.Context)) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), replaceLimit)
		defer cancel()
		f(ctx)
	}()
	return func() { <-done }
}

func (b *bench) anyBackend(rnd *rand.Rand) *dev.Backend {
	return b.fleet.Backends[rnd.IntN(len(b.fleet.Backends))]
}

func (b *bench) backend(rnd *rand.Rand, service bool) *dev.Backend {
	for {
		if one := b.anyBackend(rnd); (one.Service != nil) == service {
			return one
		}
	}
}

func killAgent(b *bench, rnd *rand.Rand) func() {
	one := b.anyBackend(rnd)
	if !b.fleet.KillAgent(one) {
		return nil
	}
	return func() { b.must(b.fleet.StartAgent(one)) }
}

// replaceAgent drains an agent, watches that it gets no new work, and replaces
// it. The round doesn't wait: the watch takes longer than a round.
func replaceAgent(b *bench, rnd *rand.Rand) func() {
	one := b.anyBackend(rnd)
	a := b.fleet.LiveAgent(one)
	if a == nil || a.Ready() != nil {
		return nil
	}
	b.drains.Go(func() {
		b.watchDrain(one, a)
		if b.fleet.LiveAgent(one) != a {
			return // killed meanwhile, and started anew by that fault
		}
		if b.fleet.KillAgent(one) {
			b.must(b.fleet.StartAgent(one))
		}
	})
	return func() {}
}

func onEngine(do func(*dev.Backend)) fault {
	return func(b *bench, rnd *rand.Rand) func() {
		one := b.backend(rnd, false)
		do(one)
		return func() { one.Engine.Recover() }
	}
}

// poison sends a prompt that kills engines through two entries, one after the
// other, as its caller would.
func poison(b *bench, rnd *rand.Rand) func() {
	text := killMarker + " " + time.Duration(rnd.Int64()).String()
	first, second := b.probes.target(rnd), b.probes.target(rnd)
	return b.inBackground(func(context.Context) {
		b.probes.say(first, text)
		b.probes.say(second, text)
	})
}

func dieService(b *bench, rnd *rand.Rand) func() {
	one := b.backend(rnd, true)
	one.Service.Die()
	return func() { one.Service.Recover() }
}

func onService(f standinservice.Faults) fault {
	return func(b *bench, rnd *rand.Rand) func() {
		one := b.backend(rnd, true)
		one.Service.SetFaults(f)
		return func() { one.Service.SetFaults(standinservice.Faults{}) }
	}
}

func onStore(change func(*standinobjectapi.Faults)) fault {
	return func(b *bench, _ *rand.Rand) func() { return b.store.begin(change) }
}

func loseDatagrams(b *bench, rnd *rand.Rand) func() {
	share := 20 + rnd.Int64N(60)
	b.net.lose.Add(share)
	return func() { b.net.lose.Add(-share) }
}

func doubleDatagrams(b *bench, _ *rand.Rand) func() {
	b.net.double.Add(50)
	return func() { b.net.double.Add(-50) }
}

func delayDatagrams(b *bench, rnd *rand.Rand) func() {
	most := 100 + rnd.Int64N(900)
	b.net.delayMS.Add(most)
	return func() { b.net.delayMS.Add(-most) }
}

func raceOperators(b *bench, rnd *rand.Rand) func() {
	own := rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
	return b.inBackground(func(ctx context.Context) { b.race.run(ctx, own) })
}

// must notes a start that failed: a process that can't start again is a fault of
// the system.
func (b *bench) must(err error) {
	b.checks.check(checkServesAgain, err == nil, "start: %v", err)
}
