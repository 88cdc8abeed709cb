package gatewaynode

import (
	"cmp"
	"slices"
	"time"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/servernotice"
	"github.com/briarturn/briarturn/upstream"
)

// role is the role in a node's status.
const role = "gateway"

// States of a backend server in a node's status.
const (
	stateLive      = "live"
	stateCold      = "cold"      // warming up, or in a zone that was restored recently
	stateEvacuated = "evacuated" // in a zone that operators have evacuated
)

var _ admin.StatusProvider = (*Node)(nil)

// Status implements admin.StatusProvider.
func (n *Node) Status() admin.Status {
	view := n.zones.View(n.directory.CurrentAsOf())
	s := admin.Status{
		Name: n.cfg.Name, Role: role, Zone: n.cfg.Zone, Ready: n.Ready() == nil, Draining: n.gateway.ShuttingDown(),
		Running: n.gateway.ActiveRequests(), EvacuatedZones: view.Zones(), Servers: []admin.ServerStatus{},
	}
	if age, ok := n.zones.Age(); ok && n.evacuationEnabled() {
		s.ZonesAgeMS = age.Milliseconds()
	}
	for _, suspicion := range n.parts.Suspicions() {
		s.SuspectParts = append(s.SuspectParts, suspectPart(suspicion))
	}
	if table, _, ok := n.routes.Table(); ok {
		s.ConfigRevision = table.Revision()
	}
	now, notices, lost := time.Now(), n.notices.View(), n.lostServers(boottime.Now())
	slow := n.ledger.SlowServers(now)
	for _, server := range n.directory.All() {
		state := stateLive
		switch {
		case view.Evacuated(server.Zone):
			state = stateEvacuated
		case now.Before(server.ColdUntil) || view.RecentlyRestored(server.Zone):
			state = stateCold
		}
		draining := server.Draining || notices.Draining(servernotice.ServerOf(server.Instance, server.StartedUnixMs))
		line := serverStatus(server, state, draining)
		line.Slowdown = slow[placement.ServerKey(server.Instance)]
		if evidence, ok := lost[server.Instance]; ok {
			line.Lost = &evidence
		}
		s.Servers = append(s.Servers, line)
	}
	slices.SortFunc(s.Servers, func(a, b admin.ServerStatus) int { return cmp.Compare(a.Name, b.Name) })
	if turns := n.turns.Load(); turns != nil {
		s.Waiting = waitingRequests(turns.Waiting())
	}
	return s
}

func serverStatus(s upstream.Server, state string, draining bool) admin.ServerStatus {
	return admin.ServerStatus{Name: s.Instance, Zone: s.Zone, Pool: s.Service, State: state, Draining: draining}
}
