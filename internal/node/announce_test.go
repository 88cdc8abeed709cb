package node

import (
	"encoding/json"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Symptom: entries pull from each other with every digest, though nothing was
// declared.
// Sequence: other objects are written to the store; the watches of two entries
// answer at different times.
// Cause: they compare the revision up to which they are complete.
func TestQuietWatchIsNoNews(t *testing.T) {
	catalog := declared.NewCatalog(declared.Config{})
	policy := objectapi.Object{
		Kind: declared.KindWorkspacePolicy, Name: "fixtures", Version: 7, Data: json.RawMessage(`{"weight":1}`),
	}
	for _, kind := range declared.Kinds() {
		listing := objectapi.Listing{Revision: 10}
		if kind == policy.Kind {
			listing.Objects = []objectapi.Object{policy}
		}
		catalog.Snapshot(kind, listing)
	}
	newest := newestObject(catalog.Since(0, declared.Scope{}), 0)
	if newest != 7 {
		t.Fatalf("newest object has version %d, want 7", newest)
	}
	hear(catalog, objectapi.Listing{Revision: 90})
	if catalog.Revision() != 90 {
		t.Fatalf("complete through %d, want 90", catalog.Revision())
	}
	if got := newestObject(catalog.Since(newest, declared.Scope{}), newest); got != newest {
		t.Errorf("newest object has version %d after a quiet watch, want %d", got, newest)
	}
	policy.Version = 91
	hear(catalog, objectapi.Listing{Revision: 91, Objects: []objectapi.Object{policy}})
	if got := newestObject(catalog.Since(newest, declared.Scope{}), newest); got != 91 {
		t.Errorf("newest object has version %d after a change, want 91", got)
	}
}

// TestServersAreListedOverTheWire: what one entry hears, another can ask for.
func TestServersAreListedOverTheWire(t *testing.T) {
	n, err := startEntryAt(t, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	d := backend.Descriptor{
		Name: "briar-1", Zone: "hobart", Region: "tas", Pool: "briar-pool",
		RPCAddress: "10.0.0.1:7000", DatagramAddress: "10.0.0.1:7001",
	}
	hello := &wirepb.Hello{Descriptor_: wire.DescriptorToProto(d, 1), Load: wire.LoadToProto(backend.Load{Running: 3, Sequence: 1})}
	n.runner.With(func(o *membership.Observer) {
		o.Handle(time.Now(), netip.MustParseAddrPort(d.DatagramAddress), &wirepb.Datagram{Body: &wirepb.Datagram_Hello{Hello: hello}})
	})
	page, err := n.pullServers(t.Context(), n.RPCAddress(), 0)
	if err != nil {
		t.Fatal(err)
	}
	list := page.GetServers()
	if len(list) != 1 || list[0].GetDescriptor_().GetName() != d.Name || list[0].GetLoad().GetRunning() != 3 {
		t.Errorf("got %v", list)
	}
	if page.GetNext() != 0 {
		t.Errorf("a further page %d is announced", page.GetNext())
	}
}

// hear tells a catalog of changes as the watches of all kinds would.
func hear(c *declared.Catalog, l objectapi.Listing) {
	for _, kind := range declared.Kinds() {
		of := slices.DeleteFunc(slices.Clone(l.Objects), func(o objectapi.Object) bool { return o.Kind != kind })
		c.Events(kind, objectapi.Listing{Revision: l.Revision, Objects: of})
	}
}
