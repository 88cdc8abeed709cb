package dev

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/declared"
	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/invariant"
)

// outageSeed fixes the changes and outages of the test below.
const outageSeed = 1

// Symptom: a process goes back to an older configuration. Sequence: changes and
// outages of the store in random order, gaps in its watches, entries that serve
// agents meanwhile. Cause: what a peer that lags says is put over what is newer.
// Within a process the catalog's own invariants panic; here the revisions are
// watched from outside.
func TestConfigNeverRevertsThroughOutages(t *testing.T) {
	const entries, agents, steps = 2, 56, 30
	f := startConfigFleet(t, entries, agents)
	rnd := rand.New(rand.NewPCG(outageSeed, outageSeed))
	ctx, cancel := context.WithCancel(t.Context())
	var watching sync.WaitGroup
	watch := func(p revisioned) {
		for last := uint64(0); ctx.Err() == nil; time.Sleep(time.Millisecond) {
			now := p.ConfigRevision()
			if now < last {
				t.Errorf("revision %d after %d", now, last)
				return
			}
			last = now
		}
	}
	for _, n := range f.entries {
		watching.Go(func() { watch(n) })
	}
	for _, n := range f.agents {
		watching.Go(func() { watch(n) })
	}
	versions := map[int]uint64{}
	for range steps {
		if rnd.IntN(3) == 0 {
			f.store.SetFaults(standinobjectapi.Faults{Down: true})
			time.Sleep(time.Duration(rnd.IntN(800)) * time.Millisecond)
			f.store.SetFaults(standinobjectapi.Faults{GapNext: rnd.IntN(2)})
		}
		pool := rnd.IntN(configPools)
		versions[pool] = f.apply(t, pool, rnd.IntN(2) == 0)
		time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
	}
	for pool, version := range versions {
		f.inForce(t, version, pool)
	}
	cancel()
	watching.Wait()
	for _, c := range invariant.Counts() {
		if c.Violated > 0 {
			t.Errorf("invariant %s violated %d times", c.Name, c.Violated)
		}
	}
}

// Symptom: an operator changes a pool's long_prefill_share and agents go on
// with the default.
// Cause: agents don't read their pool from the declared state that they pull.
func TestAgentsFollowTheDeclaredShare(t *testing.T) {
	f := startSmall(t, func(c *Config) {
		for i := range c.Objects {
			if c.Objects[i].Kind == declared.KindModelPool {
				c.Objects[i].Data = withShare(t, c.Objects[i].Data, 0.25)
			}
		}
	})
	for _, b := range f.Backends {
		if b.Engine == nil {
			continue
		}
		limit := b.Metrics.Get("agent.long_prefill_limit").(metrics.Gauge)
		eventually(t, b.Name+" has the limit", func() bool { return limit.Value() == 200_000 })
	}
}

// withShare returns the data of a ModelPool with another long_prefill_share.
func withShare(t *testing.T, data json.RawMessage, share float64) json.RawMessage {
	t.Helper()
	fields := map[string]any{}
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	fields["long_prefill_share"] = share
	out, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
