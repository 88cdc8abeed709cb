package capacity

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/internal/sleep"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/lostservers"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/serverlimit"
)

const (
	// newsGap is far enough apart that each piece of news is a datagram of its own, as
	// at some ten requests a second.
	newsGap = 10 * time.Millisecond
	// newsHelpers read a part of the prompt in the attempts that are measured: more
	// than the mean prompt has.
	newsHelpers = 2
	// beatTime is how long beats are counted.
	beatTime = 2 * time.Second
)

func gatewayMeasurements() []measurement {
	return []measurement{
		{name: lineNewsBytes, x: "attempts", y: "bytes", source: "peering.Exchange to one peer: begun, first token, end, each alone", sizes: []int{10, 20, 40}, sample: sampleNewsBytes},
		{name: lineBeatBytes, x: "attempts that go on", y: "bytes a second", source: "peering.Exchange to one peer, beats only", sizes: []int{8, 32, 128}, sample: sampleBeatBytes},
	}
}

// twoExchanges starts two that know each other. It returns the first's teller and a
// function for the bytes that it has sent.
func twoExchanges(ctx context.Context) (teller placement.AttemptPublisher, ledger *placement.Ledger, sent func() int64, err error) {
	store := standin.NewMemory(standin.Config{})
	registry := metrics.NewRegistry()
	var known [2]chan int
	for i, name := range []string{"gateway-1", "gateway-2"} {
		known[i] = make(chan int, 16)
		l := placement.NewLedger(func(uint64) *placement.EngineProfile { return nil })
		r := metrics.NewRegistry()
		if i == 0 {
			r, ledger = registry, l
		}
		x, err := peering.Start(ctx, peering.Config{
			Name: name, ListenAddress: "127.0.0.1:0", Incarnation: uint64(i) + 1, Zone: "z", Region: "r", Store: store,
			Ledger: l, Quarantine: quarantine.NewTracker(quarantine.DefaultOptions), Parts: quarantine.NewPartTracker(quarantine.DefaultPartOptions), Limits: serverlimit.NewTable(), Lost: lostservers.NewTable(uint64(i) + 1),
			OnEntriesChanged: func(names []string, _ bool) { known[i] <- len(names) }, Log: quiet.Logger(), Metrics: r,
		})
		if err != nil {
			return nil, nil, nil, errors.Trace(err)
		}
		context.AfterFunc(ctx, func() { _ = x.Close() })
		if i == 0 {
			teller = x.AttemptPublisher()
		}
	}
	for n := 0; n < 2; {
		select {
		case n = <-known[0]:
		case <-ctx.Done():
			return nil, nil, nil, errors.Annotate(ctx.Err(), "step await the other exchange")
		}
	}
	return teller, ledger, metrics.GetOrRegisterCounter("wire.datagrams.bytes_out", registry).Count, nil
}

func newsWork(seq uint64) placement.Attempt {
	w := placement.Attempt{
		ID: placement.AttemptID{Owner: 1, Seq: seq}, Server: placement.ServerKey("engine"),
		PartTime: 40 * time.Millisecond, PartTokens: 4000, MemoryTokens: 6400, PauseObjective: 250 * time.Millisecond,
		FirstTokenDeadline: time.Now().Add(300 * time.Millisecond), Weight: 1.5,
	}
	for range newsHelpers {
		w.Helpers = append(w.Helpers, placement.ServerKey("helper"))
	}
	return w
}

func sampleNewsBytes(ctx context.Context, n int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	teller, _, sent, err := twoExchanges(ctx)
	if err != nil {
		return 0, err
	}
	before := sent()
	for i := range uint64(n) {
		w := newsWork(1_000_000 + i)
		teller.Began(w)
		sleep.For(ctx, newsGap)
		teller.FirstToken(w.ID)
		sleep.For(ctx, newsGap)
		teller.Ended(w.ID)
		sleep.For(ctx, newsGap)
	}
	return float64(sent() - before), nil
}

func sampleBeatBytes(ctx context.Context, n int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, ledger, sent, err := twoExchanges(ctx)
	if err != nil {
		return 0, err
	}
	for i := range uint64(n) {
		ledger.Begin(newsWork(1_000_000+i), time.Now())
	}
	before := sent()
	sleep.For(ctx, beatTime)
	return float64(sent()-before) / beatTime.Seconds(), nil
}
