package peering

import (
	"slices"
	"time"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// maxSyncedDeaths is the maximum number of deaths that are sent to one peer that starts or
// returns, the most recently used last.
const maxSyncedDeaths = 240

// knownState returns the deaths, limits and drains of servers that this entry knows of, as
// messages for one peer.
func (x *Exchange) knownState(now time.Time) []*wirepb.WorkNews {
	deaths := x.cfg.Quarantine.Records(now)
	deaths = deaths[max(len(deaths)-maxSyncedDeaths, 0):]
	limits := x.cfg.Limits.Observations(now)
	return slices.Concat(
		deathMessages(x.cfg.Incarnation, deaths),
		partMessages(x.cfg.Incarnation, x.knownPartDeaths(now), now),
		limitMessages(x.cfg.Incarnation, limits),
		drainMessages(x.cfg.Incarnation, x.cfg.Notices.DrainingServers()),
	)
}

// noteContactLocked notes a message of a peer. A peer of which none came lately may have
// been cut off, and is sent what this entry knows by helloLoop.
func (x *Exchange) noteContactLocked(owner uint64, now time.Time) {
	if _, seen := x.lastSeen[owner]; !seen {
		x.returned = append(x.returned, owner)
		x.wakeHelloLoop()
	}
	x.lastSeen[owner] = now
}

// syncReturnedPeers sends what this entry knows to the peers that returned since the last call.
func (x *Exchange) syncReturnedPeers(now time.Time) {
	x.mu.Lock()
	var returned []Peer
	for _, p := range x.peers {
		if slices.Contains(x.returned, p.Incarnation) {
			returned = append(returned, p)
		}
	}
	x.returned = nil
	x.mu.Unlock()
	if len(returned) == 0 {
		return
	}
	messages := x.knownState(now)
	for _, p := range returned {
		for _, m := range messages {
			x.sendTo(p.DatagramAddress, m)
		}
	}
}
