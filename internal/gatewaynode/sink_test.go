package gatewaynode

import (
	"encoding/json"
	"testing"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/platform"
	"github.com/briarturn/briarturn/routetable"
)

// Guards against taking an invalid configuration, or one that is older than the one in force.
func TestInvalidAndOlderConfigurationsAreIgnored(t *testing.T) {
	n := &Node{cfg: Config{Decoder: Decoder{ConfigKind: platform.KindConfig, Config: platform.DecodeConfig}, Log: quiet.Logger()}}
	n.routes, n.inForce = routetable.NewHolder(boottime.Now), newInForce((*inForceSink)(n), boottime.Now)
	for _, c := range []struct {
		data string
		want uint64 // revision in force afterwards
	}{
		{`{"version":5}`, 5},
		{`{"version":6,"routes":"none"}`, 5},
		{`{"version":7`, 5},
		{`{"version":4}`, 5},
		{`{"version":8}`, 8},
	} {
		o := objectapi.Object{Kind: platform.KindConfig, Name: "main", Version: 1, Data: json.RawMessage(c.data)}
		(*sink)(n).Events(platform.KindConfig, objectapi.Listing{Objects: []objectapi.Object{o}, CurrentAsOf: boottime.Now()})
		if table, _, ok := n.routes.Table(); !ok || table.Revision() != c.want {
			t.Errorf("%s: revision %d in force, want %d", c.data, table.Revision(), c.want)
		}
	}
}
