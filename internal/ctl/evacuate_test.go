package ctl

import (
	"encoding/json"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/briarturn/briarturn/internal/admin"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/platform"
)

// inForce is a process that takes a while to learn which zones are evacuated.
type inForce struct {
	asked atomic.Int64
	zones []string
}

func (p *inForce) Status() admin.Status {
	s := admin.Status{Name: "e1", Role: roleGateway, Ready: true, ConfigRevision: 3, Servers: []admin.ServerStatus{{Name: "i-1", State: "evacuated"}}}
	if p.asked.Add(1) > 2 {
		s.EvacuatedZones, s.ZonesAgeMS = p.zones, 1200
	}
	return s
}

// A zone is evacuated and restored once however often it is said, and the command tells
// where that is in force.
func TestZoneIsEvacuatedAndRestored(t *testing.T) {
	store := standin.NewMemory(standin.Config{})
	server := httptest.NewServer(admin.NewHandler(admin.Config{Status: &inForce{zones: []string{"z1"}}}))
	defer server.Close()
	for name, zone := range map[string]string{"i-1": "z1", "i-2": "z1", "i-3": "z2", "unreadable": ""} {
		data := json.RawMessage(`{"service":"s","address":"10.0.0.1:80","zone":"` + zone + `","capacity":1,"state":"ready"}`)
		if zone == "" {
			data = json.RawMessage(`"?"`)
		}
		if _, err := store.Create(t.Context(), platform.KindServers, name, data); err != nil {
			t.Fatal(err)
		}
	}
	expect(t, runTool(store, "", "evacuate", "nowhere"), ExitOK, "zone nowhere evacuated, 0 backend servers\n")
	expect(t, runTool(store, "", "evacuate", "z1"), ExitOK, "zone z1 evacuated, 2 backend servers\n")
	expect(t, runTool(store, "", "--admin", server.URL, "evacuate", "z1", "--wait"), ExitOK, "as it was", "in force at 1 of 1 processes")
	if _, err := store.Get(t.Context(), platform.KindEvacuations, "z1"); err != nil {
		t.Error(err)
	}
	expect(t, runTool(store, "", "--admin", server.URL, "status"), ExitOK, "evacuated zones, by e1 1200 ms ago: z1", "revision 3: 1 processes, 100.0%")
	expect(t, runTool(store, "", "--admin", server.URL, "--timeout", "300ms", "evacuate", "z1", "--end", "--wait"), ExitUnavailable, "restored", "in force at 0 of 1")
	expect(t, runTool(store, "", "evacuate", "z1", "--end"), ExitOK, "restored, as it was")
	expect(t, runTool(store, "", "evacuate"), ExitUsage)
}
