package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/briarturn/briarturn/claim"
	"github.com/briarturn/briarturn/declared"
	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/platform"
	platformstandin "github.com/briarturn/briarturn/platform/standin"
)

func storeMeasurements() []measurement {
	claims := shared(claimCalls)
	rates := []int{25, 50, 100, 250}
	all := []measurement{
		{name: lineWatchIdle, x: "watchers", y: "reads a second", source: "objectapi.Watcher, nothing changes", sizes: []int{50, 100, 200}, sample: sampleIdleWatch},
		{name: lineWatchBusy, x: "watchers", y: "reads a second", source: "objectapi.Watcher, 20 changes a second", sizes: []int{50, 100, 200}, sample: sampleBusyWatch},
		{name: lineWatchBytes, x: "changes in an answer", y: "bytes", source: "platform.StoreClient.Watch over a kept connection, both ways, with TCP headers", sizes: []int{1, 8, 16}, sample: sampleWatchBytes},
		{name: lineLeaseWrites, x: "leases", y: "writes a renewal period", source: "lease.Manager, renewals", sizes: []int{4, 14, 28}, sample: sampleLeases},
		{name: lineClaimWrites, x: "confirmations a second", y: "writes a second", source: claimSource, sizes: rates, sample: part(claims, writesOf)},
		{name: lineClaimReads, x: "confirmations a second", y: "reads a second", source: claimSource, sizes: rates, sample: part(claims, readsOf)},
		{name: lineClaimBytes, x: "settled claims", y: "bytes", source: "claim.Claimer: all of its objects in the store, short answers", sizes: []int{250, 500, 1000}, sample: sampleClaimBytes},
	}
	for i := range all {
		all[i].together = true
	}
	return all
}

const claimSource = "claim.Claimer at 60 entries of 5 regions, forwarding, own keys, store answers in 2 ms"

// watchTime is how long watchers are counted.
const watchTime = time.Second

type ignore struct{}

func (ignore) Snapshot(string, objectapi.Listing) {}
func (ignore) Events(string, objectapi.Listing)   {}

// watchReads counts what n watchers cost the store, less their first lists.
func watchReads(ctx context.Context, n int, changes time.Duration) (float64, error) {
	store := standinobjectapi.NewMemory(standinobjectapi.Config{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	kinds := []string{declared.KindWorkspacePolicy}
	for range n {
		w := objectapi.NewWatcher(objectapi.WatcherConfig{Store: store, Kinds: kinds, Sink: ignore{}})
		running.Go(func() { w.Run(ctx) })
	}
	if changes > 0 {
		running.Go(func() { changeOften(ctx, store, changes) })
	}
	time.Sleep(objectapi.DefaultWatchInterval + 100*time.Millisecond)
	before := store.Counts()
	time.Sleep(watchTime)
	after := store.Counts()
	return float64(after.Reads()-before.Reads()) / watchTime.Seconds(), nil
}

func changeOften(ctx context.Context, store objectapi.Store, every time.Duration) {
	for i := 0; ctx.Err() == nil; i++ {
		o := policyObject(i, 0)
		_, _ = store.Create(ctx, o.Kind, o.Name, o.Data)
		time.Sleep(every)
	}
}

func sampleIdleWatch(ctx context.Context, n int) (float64, error) { return watchReads(ctx, n, 0) }

func sampleBusyWatch(ctx context.Context, n int) (float64, error) {
	return watchReads(ctx, n, 50*time.Millisecond)
}

// sampleWatchBytes returns the bytes of a watch that answers n changes.
func sampleWatchBytes(ctx context.Context, n int) (float64, error) {
	store := standinobjectapi.NewMemory(standinobjectapi.Config{})
	for i := range n {
		o := policyObject(i, 0)
		if _, err := store.Create(ctx, o.Kind, o.Name, o.Data); err != nil {
			return 0, errors.Trace(err)
		}
	}
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return 0, errors.Trace(err)
	}
	metered := &meteredListener{Listener: lis}
	server := &http.Server{Handler: platformstandin.Handler(store)}
	go func() { _ = server.Serve(metered) }()
	defer server.Close()
	client, err := platform.NewStoreClient(platform.StoreConfig{BaseURL: "http://" + lis.Addr().String()})
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer client.Close()
	const calls = 20
	var before int64
	for i := range calls + 1 {
		if i == 1 {
			before = metered.bytes.Load()
		}
		l, err := client.Watch(ctx, declared.KindWorkspacePolicy, 0, time.Second)
		if err != nil {
			return 0, errors.Trace(err)
		}
		if len(l.Objects) != n {
			return 0, errors.Errorf("%d changes of %d", len(l.Objects), n)
		}
	}
	return float64(metered.bytes.Load()-before) / calls, nil
}

// sampleLeases returns writes in one renewal period; the term is short so that
// several fit.
func sampleLeases(ctx context.Context, n int) (float64, error) {
	const term, renew, periods = 600 * time.Millisecond, 200 * time.Millisecond, 6
	store := standinobjectapi.NewMemory(standinobjectapi.Config{})
	m := lease.NewManager(lease.Config{Store: store, Holder: "measure", Term: term, RenewInterval: renew})
	held := make([]*lease.Lease, n)
	errs := make([]error, n)
	var acquiring sync.WaitGroup
	for i := range n {
		acquiring.Go(func() { held[i], errs[i] = m.Acquire(ctx, fmt.Sprintf("pool-%d", i)) })
	}
	acquiring.Wait()
	for _, err := range errs {
		if err != nil {
			return 0, errors.Trace(err)
		}
	}
	time.Sleep(renew / 2) // between two renewals
	before := store.Counts().Writes()
	time.Sleep(periods * renew)
	writes := store.Counts().Writes() - before
	for _, l := range held {
		if !l.Held() {
			return 0, errors.New("a lease was lost")
		}
		if err := l.Release(ctx); err != nil {
			return 0, errors.Trace(err)
		}
	}
	return float64(writes) / periods, nil
}

// claimEntries make the claims, in so many regions; claimTime is for how long.
const (
	claimRegions = 5
	claimEntries = 12 * claimRegions
	claimTime    = 1500 * time.Millisecond
)

// calls are the store's calls a second.
type calls struct{ reads, writes float64 }

func readsOf(c calls) float64  { return c.reads }
func writesOf(c calls) float64 { return c.writes }

// claimCalls offers confirmations at a rate and returns what they cost the
// store.
func claimCalls(ctx context.Context, rate int) (calls, error) {
	store := standinobjectapi.NewMemory(standinobjectapi.Config{})
	store.SetFaults(standinobjectapi.Faults{LatencyMS: 2})
	regions := make([]claimRegion, claimRegions)
	var claimers []*claim.Claimer
	for i := range claimEntries {
		region := &regions[i%claimRegions]
		name := fmt.Sprintf("entry-%d", i)
		c, err := claim.New(claim.Config{Store: store, Entry: name, Metrics: metrics.NewRegistry(), Peers: region})
		if err == nil {
			err = c.Preload(ctx)
		}
		if err != nil {
			return calls{}, errors.Trace(err)
		}
		region.add(name, c)
		claimers = append(claimers, c)
	}
	before := store.Counts()
	if err := confirm(ctx, claimers, rate); err != nil {
		return calls{}, err
	}
	after := store.Counts()
	return calls{
		reads:  float64(after.Reads()-before.Reads()) / claimTime.Seconds(),
		writes: float64(after.Writes()-before.Writes()) / claimTime.Seconds(),
	}, nil
}

// claimRegion is the entries of a region to each other, without the calls between
// them. It is complete before the first claim.
type claimRegion struct {
	names    []string
	claimers map[string]*claim.Claimer
}

func (r *claimRegion) add(name string, c *claim.Claimer) {
	if r.claimers == nil {
		r.claimers = map[string]*claim.Claimer{}
	}
	r.names = append(r.names, name)
	r.claimers[name] = c
}

// CandidateWriters implements claim.PeerClient.
func (r *claimRegion) CandidateWriters() []string { return r.names }

// Forward implements claim.PeerClient.
func (r *claimRegion) Forward(ctx context.Context, entry string, b claim.Batch) ([]claim.ChangeResult, error) {
	return r.claimers[entry].ServeForward(ctx, b)
}

// ClaimIssued implements claim.PeerClient. All keys that are measured are callers' own.
func (r *claimRegion) ClaimIssued(context.Context, claim.Issuer, claim.Key, string) (claim.Grant, error) {
	return claim.Grant{}, claim.ErrBadKey
}

// SettleIssued implements claim.PeerClient.
func (r *claimRegion) SettleIssued(context.Context, claim.Issuer, claim.Key, string, claim.Outcome) error {
	return claim.ErrBadKey
}

// sampleClaimBytes returns what n settled claims take in the store.
func sampleClaimBytes(ctx context.Context, n int) (float64, error) {
	store := standinobjectapi.NewMemory(standinobjectapi.Config{})
	c, err := claim.New(claim.Config{Store: store, Entry: "entry-1", Metrics: metrics.NewRegistry()})
	if err != nil {
		return 0, errors.Trace(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	for i := range n {
		group.Go(func() error { return confirmOne(ctx, c, fmt.Sprintf("key-%d", i)) })
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	list, err := store.List(context.Background(), claim.Kind, "")
	if err != nil {
		return 0, errors.Trace(err)
	}
	sum := 0
	for _, o := range list.Objects {
		sum += len(o.Data)
	}
	return float64(sum), nil
}

// confirm claims and settles at a rate, spread over the claimers.
func confirm(ctx context.Context, claimers []*claim.Claimer, rate int) error {
	total := int(float64(rate) * claimTime.Seconds())
	errs := make([]error, total)
	var running sync.WaitGroup
	for i := range total {
		at := claimers[i%len(claimers)]
		running.Go(func() { errs[i] = confirmOne(ctx, at, fmt.Sprintf("key-%d", i)) })
		time.Sleep(claimTime / time.Duration(total))
	}
	running.Wait()
	flushes := make([]error, len(claimers))
	for i, c := range claimers {
		running.Go(func() { flushes[i] = c.Flush(ctx) })
	}
	running.Wait()
	for _, err := range append(errs, flushes...) {
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func confirmOne(ctx context.Context, c *claim.Claimer, key string) error {
	g, err := c.Claim(ctx, claim.Key{Workspace: "workspace-1", IdempotencyKey: key}, claim.Request{FirstSend: true})
	if err != nil {
		return errors.Trace(err)
	}
	if !g.Fresh {
		return errors.New("a first claim was not granted")
	}
	return errors.Trace(c.Settle(ctx, g, claim.Outcome{
		Kind:   claim.OutcomeDone,
		Record: claim.Record{Status: 200, Response: []byte(`{"ok":true}`)},
	}))
}
