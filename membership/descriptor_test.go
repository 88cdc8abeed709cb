package membership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// changeDescriptor makes agent i serve another model, with an adapter and
// another role.
func (c *cluster) changeDescriptor(i int) {
	a := c.agents[i]
	d := a.cfg.Descriptor
	d.Models = []string{"model-new"}
	d.Adapters = []string{"adapter-new"}
	d.Role = backend.RoleDecode
	a.SetDescriptor(d)
}

// countOutdated returns the number of entries whose table doesn't have the
// descriptor of agent i.
func (c *cluster) countOutdated(i int) int {
	want := c.agents[i].cfg.Descriptor
	n := 0
	for _, e := range c.entries {
		row := e.table.rows[wire.NameKey(want.Name)]
		if row == nil || !cmp.Equal(row.descriptor.Models, want.Models) ||
			!cmp.Equal(row.descriptor.Adapters, want.Adapters) || row.descriptor.Role != want.Role {
			n++
		}
	}
	return n
}

// makeIdle makes an agent the least loaded of its pool, so that digests contain
// it.
func (c *cluster) makeIdle(i int) {
	c.agents[i].load.PrefillShort, c.agents[i].load.Running = 0, 0
}

// A changed descriptor must reach all entries, also those that aren't homes of
// the server. A rollout changes the model, adapters and role within an
// incarnation, and an agent sends its descriptor only to its homes. If digests
// didn't show the change, most entries would send the server requests for a
// model that it no longer has, which it refuses, and none for the model that it
// loaded.
func TestChangedDescriptorReachesAllEntries(t *testing.T) {
	c := newCluster(t, 8, 40, 1, 51)
	c.makeIdle(0)
	c.run(settleTime)
	if n := c.countOutdated(0); n != 0 {
		t.Fatalf("%d entries don't have the server's descriptor", n)
	}
	c.changeDescriptor(0)
	c.run(indirectServerTTL) // an entry that gets no sample in this time drops the row
	if n := c.countOutdated(0); n != 0 {
		t.Errorf("%d of 8 entries have the old descriptor after %s", n, indirectServerTTL)
	}
}

// A request for a changed descriptor must be repeated if the request or the
// answer is lost. Otherwise an entry would keep the old descriptor permanently.
func TestDescriptorRequestIsRetried(t *testing.T) {
	c := newCluster(t, 8, 40, 1, 52)
	c.makeIdle(0)
	c.run(settleTime)
	deliver := c.deliver
	c.deliver = func(from, to netip.AddrPort) []time.Duration {
		if to == agentAddr(0) || from == agentAddr(0) && c.rnd.IntN(2) == 0 {
			return nil
		}
		return deliver(from, to)
	}
	c.changeDescriptor(0)
	c.run(settleTime)
	if c.countOutdated(0) == 0 {
		t.Fatal("no request was lost")
	}
	c.deliver = deliver
	c.run(indirectServerTTL)
	if n := c.countOutdated(0); n != 0 {
		t.Errorf("%d of 8 entries have the old descriptor", n)
	}
}

// Requests to one agent must be bounded. An entry of another release may encode
// a descriptor differently, so that its hash never matches the one held here.
// With a bound on the sum of requests only, each digest would cause a request to
// that agent, and none would be left for others.
func TestUnmatchedDescriptorHashRequestsAreBounded(t *testing.T) {
	c := newCluster(t, 8, 40, 1, 53)
	c.makeIdle(0)
	c.run(settleTime)
	key := wire.NameKey(c.agents[0].name())
	for _, e := range c.entries {
		a := e.agents[key]
		if a.direct {
			continue
		}
		requests := 0
		for s := range 60 {
			now := c.now.Add(time.Duration(s) * time.Second)
			row := &wirepb.DigestRow{Key: key, Incarnation: a.incarnation, Address: 1, Port: 1, Descriptor_: a.hash + 1}
			var out Effects
			e.handleRow(now, row, &out)
			requests += len(out.Send)
		}
		if requests < 1 || requests > 12 {
			t.Errorf("descriptor requested %d times in 60 s, want 1 to 12", requests)
		}
	}
}

// The hash held for a descriptor must be that of the descriptor in the table. An
// entry merges another entry's list, which has a new descriptor that the table
// doesn't use. If the entry stored the new hash, it would keep the old
// descriptor and never request the new one.
func TestDescriptorHashMatchesTable(t *testing.T) {
	c := newCluster(t, 8, 40, 1, 54)
	c.run(settleTime)
	c.changeDescriptor(0)
	c.deliver = func(from, to netip.AddrPort) []time.Duration {
		if entryIndex(to) >= 0 && entryIndex(from) >= 0 {
			return nil // no digests
		}
		return []time.Duration{linkDelay}
	}
	c.run(settleTime)
	for _, e := range c.entries {
		for _, other := range c.entries {
			e.MergeServers(c.now, other.Servers(c.now, 0, 0).GetServers())
		}
	}
	key := wire.NameKey(c.agents[0].name())
	for _, e := range c.entries {
		table := wire.DescriptorToProto(e.table.rows[key].descriptor, e.agents[key].incarnation)
		if e.agents[key].hash != descriptorHash(table) {
			t.Errorf("%s: the hash isn't that of the table's descriptor", e.self.GetName())
		}
	}
}
