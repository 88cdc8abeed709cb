package gatewaynode

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/evacuation"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/platform"
	"github.com/briarturn/briarturn/replica"
	"github.com/briarturn/briarturn/routetable"
	"github.com/briarturn/briarturn/upstream"
)

// recoveringNode is a node whose clock the test sets. It had configuration 5 under number 48 in
// the first era, confirmed at the start.
type recoveringNode struct {
	*Node
	now boottime.Instant
}

func newRecoveringNode() *recoveringNode {
	n := &recoveringNode{now: boottime.Instant(time.Hour)}
	clock := func() boottime.Instant { return n.now }
	n.Node = &Node{
		cfg: Config{Decoder: Decoder{
			ConfigKind: platform.KindConfig, Config: platform.DecodeConfig, EvacuationsKind: platform.KindEvacuations,
		}, Log: quiet.Logger()},
		routes: routetable.NewHolder(clock), zones: evacuation.NewZones(clock),
	}
	n.inForce = newInForce((*inForceSink)(n.Node), clock)
	n.list(1, 50, 5, 48, objectapi.Recovered)
	n.now = n.now.Add(10 * time.Second)
	return n
}

func (n *recoveringNode) listing(era, at uint64, version int, number uint64, recovery objectapi.Recovery) objectapi.Listing {
	l := objectapi.Listing{Revision: objectapi.JoinRevision(era, at), CurrentAsOf: n.now, Recovery: recovery}
	if recovery == objectapi.Recovering {
		l.HeldBefore = objectapi.JoinRevision(1, 50)
	}
	if version > 0 {
		l.Objects = []objectapi.Object{{
			Kind: platform.KindConfig, Name: "main", Version: objectapi.JoinRevision(era, number), Data: json.RawMessage(fmt.Sprintf(`{"version":%d}`, version)),
		}}
	}
	return l
}

func (n *recoveringNode) list(era, at uint64, version int, number uint64, recovery objectapi.Recovery) {
	(*sink)(n.Node).Snapshot(platform.KindConfig, n.listing(era, at, version, number, recovery))
}

func (n *recoveringNode) events(version int, number uint64, recovery objectapi.Recovery) {
	(*sink)(n.Node).Events(platform.KindConfig, n.listing(2, number, version, number, recovery))
}

func (n *recoveringNode) want(t *testing.T, what string, version uint64, confirmed bool) {
	t.Helper()
	table, age, ok := n.routes.Table()
	if !ok || table.Revision() != version || (age == 0) != confirmed {
		t.Errorf("%s: configuration %d in force, confirmed %v; want %d, %v", what, table.Revision(), age == 0, version, confirmed)
	}
}

// Guards against an older configuration that comes into force or is confirmed, and against a newer one
// that isn't, after the store came back from an older copy.
func TestConfigurationOfAnOlderCopy(t *testing.T) {
	for _, c := range []struct {
		name      string
		apply     func(n *recoveringNode)
		version   uint64
		confirmed bool
	}{
		{"older, in the copy", func(n *recoveringNode) { n.list(2, 44, 4, 40, objectapi.Recovering) }, 5, false},
		{"the same, in the copy", func(n *recoveringNode) { n.list(2, 49, 5, 48, objectapi.Recovering) }, 5, false},
		{"the same, written again", func(n *recoveringNode) { n.list(2, 45, 5, 45, objectapi.Recovering) }, 5, true},
		{"newer, written since", func(n *recoveringNode) { n.list(2, 46, 6, 46, objectapi.Recovering) }, 6, true},
		{"newer, perhaps in the copy", func(n *recoveringNode) { n.list(2, 60, 6, 55, objectapi.Recovering) }, 6, false},
		{"no change meanwhile", func(n *recoveringNode) { n.events(0, 46, objectapi.Recovering) }, 5, false},
		{"written again meanwhile", func(n *recoveringNode) { n.events(5, 46, objectapi.Recovering) }, 5, true},
		{"an older one written again meanwhile", func(n *recoveringNode) { n.events(4, 46, objectapi.Recovering) }, 5, false},
		{"newer meanwhile", func(n *recoveringNode) { n.events(7, 46, objectapi.Recovering) }, 7, true},
		{"older, recovered", func(n *recoveringNode) { n.list(2, 46, 4, 40, objectapi.JustRecovered) }, 5, true},
		{"no configuration, recovered", func(n *recoveringNode) { n.list(2, 46, 0, 0, objectapi.JustRecovered) }, 5, true},
	} {
		n := newRecoveringNode()
		c.apply(n)
		n.want(t, c.name, c.version, c.confirmed)
	}
}

// Guards against a process that starts just after the return and serves by an older copy.
func TestFirstConfigurationOfAnOlderCopyIsUnconfirmed(t *testing.T) {
	n := newRecoveringNode()
	n.routes = routetable.NewHolder(func() boottime.Instant { return n.now })
	n.list(2, 44, 4, 40, objectapi.Recovering)
	if _, age, ok := n.routes.Table(); !ok || age < time.Hour {
		t.Errorf("age %v, %v", age, ok)
	}
	n.list(2, 45, 4, 40, objectapi.JustRecovered)
	if _, age, _ := n.routes.Table(); age < time.Hour {
		t.Errorf("recovered, not compared with peers: age %v", age)
	}
	n.now = n.now.Add(maxPeerWait)
	n.list(2, 45, 4, 40, objectapi.Recovered)
	n.want(t, "recovered, no peer", 4, true)
}

// Guards against an entry that starts just after the return, when the operators have not written again
// yet, and serves with a key that the configuration of its peers lacks.
func TestNewEntryTakesTheConfigurationOfItsPeers(t *testing.T) {
	peer, n := newRecoveringNode(), newRecoveringNode()
	n.routes = routetable.NewHolder(func() boottime.Instant { return n.now })
	n.inForce = newInForce((*inForceSink)(n.Node), func() boottime.Instant { return n.now })
	n.list(2, 44, 4, 40, objectapi.Recovering)
	n.list(2, 45, 4, 40, objectapi.JustRecovered)
	z := &peerNetwork{services: map[string]*replica.Service{"peer": replica.NewService(boottime.Now, peer.inForce.replica)}}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	f := newFollower(n.replica, nil, func() peering.Readers { return peering.Readers{Others: []string{"peer"}} }, boottime.Now)
	go n.inForce.puller(f, z, metrics.NewRegistry()).Run(ctx)
	for deadline := time.Now().Add(10 * time.Second); n.inForce.waits() && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	n.events(0, 46, objectapi.Recovered)
	n.want(t, "compared with a peer", 5, true)
}

// Guards against servers of a restored zone that count as warm by a list that may lack what they said.
func TestServersOfAnOlderCopyAreNotCurrent(t *testing.T) {
	n := newRecoveringNode()
	n.cfg.Decoder.ServersKind = platform.KindServers
	n.directory = upstream.NewDirectory(0)
	for _, recovery := range []objectapi.Recovery{objectapi.Recovering, objectapi.JustRecovered} {
		(*sink)(n.Node).Snapshot(platform.KindServers, objectapi.Listing{CurrentAsOf: n.now, Recovery: recovery})
		if current := n.directory.CurrentAsOf() == n.now; current != (recovery == objectapi.JustRecovered) {
			t.Errorf("recovery %d: current %v", recovery, current)
		}
	}
}

// Guards against requests to a zone whose evacuation the store lost, and against a zone that is
// evacuated again because the store lost its end.
func TestEvacuationsOfAnOlderCopy(t *testing.T) {
	n := newRecoveringNode()
	list := func(recovery objectapi.Recovery, zones ...string) {
		l := objectapi.Listing{CurrentAsOf: n.now, Recovery: recovery}
		for _, zone := range zones {
			l.Objects = append(l.Objects, objectapi.Object{Name: zone})
		}
		(*sink)(n.Node).Snapshot(platform.KindEvacuations, l)
	}
	want := func(what string, a, b bool) {
		t.Helper()
		if n.zones.Evacuated("a") != a || n.zones.Evacuated("b") != b {
			t.Errorf("%s: a evacuated %v, b %v; want %v, %v", what, n.zones.Evacuated("a"), n.zones.Evacuated("b"), a, b)
		}
	}
	list(objectapi.Recovering, "a")
	want("first list", true, false)
	list(objectapi.Recovered, "a")
	list(objectapi.Recovering)
	want("missing from the copy", true, false)
	list(objectapi.Recovering, "b") // evacuated since, or before the copy without having been read
	want("not known yet", true, true)
	list(objectapi.Recovered, "a")
	list(objectapi.Recovering, "a", "b")
	want("restored before the store came back", true, false)
	(*sink)(n.Node).Events(platform.KindEvacuations, objectapi.Listing{Recovery: objectapi.Recovering, Objects: []objectapi.Object{{Name: "b"}}})
	want("written since", true, true)
	list(objectapi.JustRecovered, "b")
	want("recovered", false, true)
}
