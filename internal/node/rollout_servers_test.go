package node

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const (
	fakeEntries = 86
	fakeServers = 170 // of one pool, where 2,400 are in 14
	callTakes   = 10 * time.Millisecond
)

// fakeRegion is entries, and servers that report to two of them each. The entry
// "entry-0" asks the others, by name for want of addresses.
type fakeRegion struct {
	*poolServers
	list  []*wirepb.Peer
	homes map[string][]string // of a server

	mu       sync.Mutex // guards all below
	silent   map[string]bool
	calls    int
	atOnce   int
	mostOnce int
}

func newFakeRegion() *fakeRegion {
	f := &fakeRegion{homes: map[string][]string{}, silent: map[string]bool{}}
	var names []string
	for i := range fakeEntries {
		name := fmt.Sprintf("entry-%d", i)
		names = append(names, name)
		f.list = append(f.list, &wirepb.Peer{Name: name, RpcAddress: name, Region: "tas"})
	}
	for i := range fakeServers {
		name := fmt.Sprintf("briar-%d", i)
		f.homes[name] = membership.Rank(name, names, membership.HomeCount(fakeEntries))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.poolServers = &poolServers{
		self: "entry-0", pool: "chat", started: time.Now().Add(-time.Hour), log: log,
		peers:  func() []*wirepb.Peer { return f.list },
		rows:   f.table,
		status: f.answer,
		told:   map[string]toldServers{},
	}
	return f
}

// table is what entry-0 holds: all servers, as by digests.
func (f *fakeRegion) table() []backend.Row {
	var rows []backend.Row
	for name, homes := range f.homes {
		rows = append(rows, backend.Row{
			Descriptor: backend.Descriptor{Name: name, Region: "tas", Pool: "chat"},
			Direct:     slices.Contains(homes, "entry-0"),
		})
	}
	return rows
}

func (f *fakeRegion) answer(ctx context.Context, addr, pool string) (*wirepb.EntryStatus, error) {
	f.mu.Lock()
	f.calls++
	f.atOnce++
	f.mostOnce = max(f.mostOnce, f.atOnce)
	silent := f.silent[addr]
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.atOnce--
	}()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(callTakes)
	out := &wirepb.EntryStatus{}
	for name, homes := range f.homes {
		if slices.Contains(homes, addr) {
			d := backend.Descriptor{Name: name, Region: "tas", Pool: pool}
			out.Servers = append(out.Servers, &wirepb.ServerStatus{
				Descriptor_: wire.DescriptorToProto(d, 1), Load: &wirepb.Load{}, State: backend.StateLive.String(),
			})
		}
	}
	return out, nil
}

// during asks for a while in virtual time, then hands over what is known.
func (f *fakeRegion) during(d time.Duration, check func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.ask(ctx)
	}()
	time.Sleep(d)
	synctest.Wait()
	check()
	cancel()
	<-done
}

// Symptom: a rollout begins minutes after the pool was changed.
// Sequence: an entry of a large region takes the pool's lease.
// Cause: it asks one entry after the other, 0.5 s each, before it plans.
func TestAllEntriesAreAskedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeRegion()
		f.during(time.Second, func() {
			list, complete := f.replicas()
			if !complete || len(list) != fakeServers {
				t.Errorf("complete %t with %d of %d servers", complete, len(list), fakeServers)
			}
			if f.calls != fakeEntries-1 || f.mostOnce != askAtOnce {
				t.Errorf("%d calls, %d at once; want %d, %d", f.calls, f.mostOnce, fakeEntries-1, askAtOnce)
			}
		})
	})
}

// Symptom: a holder spends more on asking, the faster it got.
// Sequence: it holds the lease for ten rounds.
// Cause: the next round begins when the last one ended.
func TestEntriesAreAskedOnceARound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeRegion()
		f.during(10*askRound(fakeEntries-1), func() {
			if most := 10 * (fakeEntries - 1); f.calls > most || f.calls < most*8/10 {
				t.Errorf("%d calls in ten rounds, want up to %d", f.calls, most)
			}
		})
	})
}

// Symptom: one entry that answers no calls stops all rollouts.
// Sequence: its datagrams still pass, so that nobody takes it for dead.
// Cause: plans wait for each entry, though another home tells of each server.
func TestOneSilentEntryHidesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeRegion()
		f.silent["entry-7"] = true
		f.during(askTimeout+time.Second, func() {
			list, complete := f.replicas()
			if !complete || len(list) != fakeServers {
				t.Errorf("complete %t with %d of %d servers", complete, len(list), fakeServers)
			}
		})
	})
}

// Symptom: models are loaded again elsewhere that a server has.
// Sequence: both homes of the server answer no calls.
// Cause: what nobody tells of is taken for not there.
func TestServerOfSilentHomesIsMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeRegion()
		name := ""
		for server, homes := range f.homes {
			if !slices.Contains(homes, "entry-0") && server > name {
				name = server
			}
		}
		for _, home := range f.homes[name] {
			f.silent[home] = true
		}
		f.during(askTimeout+time.Second, func() {
			if list, complete := f.replicas(); complete || len(list) >= fakeServers {
				t.Errorf("complete %t with %d of %d servers", complete, len(list), fakeServers)
			}
		})
		clear(f.silent)
		f.during(time.Second, func() {
			if list, complete := f.replicas(); !complete || len(list) != fakeServers {
				t.Errorf("complete %t with %d servers when they answer", complete, len(list))
			}
		})
	})
}

// Symptom: a holder that is cut off plans for the few servers it hears itself.
// Sequence: it starts, knows no server of the others, and reaches none of them.
// Cause: no known server is missing, so that all seems told.
func TestHolderCutOffPlansNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeRegion()
		f.rows = func() []backend.Row { return nil }
		for _, p := range f.list {
			f.silent[p.GetName()] = true
		}
		f.during(time.Minute, func() {
			if _, complete := f.replicas(); complete {
				t.Error("complete, with no answer")
			}
		})
	})
}
