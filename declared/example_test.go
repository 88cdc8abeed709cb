package declared_test

import (
	"encoding/json"
	"fmt"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/objectapi"
)

// A process follows the store with an objectapi.Watcher that has the Catalog
// as its Sink, and sends its state to peers that pull.
func ExampleCatalog() {
	entry := declared.NewCatalog(declared.Config{})
	policy := objectapi.Object{
		Kind: declared.KindWorkspacePolicy, Name: "confirmations", Version: 7,
		Data: json.RawMessage(`{"weight":6}`),
	}
	for _, kind := range declared.Kinds() {
		l := objectapi.Listing{Revision: 7}
		if kind == policy.Kind {
			l.Objects = append(l.Objects, policy)
		}
		entry.Snapshot(kind, l)
	}

	peer := declared.NewCatalog(declared.Config{})
	peer.ApplyBatch("entry-1", entry.Since(peer.Revision(), declared.Scope{}))
	p, version := peer.State().WorkspacePolicy("confirmations")
	fmt.Println(p.Weight, version, peer.Freshness().ReadyBy)
	// Output: 6 7 confirmed_peer
}
