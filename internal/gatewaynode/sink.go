package gatewaynode

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/peering"
	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/upstream"
)

// listedFlag is set once the backend servers have been listed.
type listedFlag struct{ atomic.Bool }

// sink applies the listings and events of the watches to the node.
type sink Node

var _ objectapi.Sink = (*sink)(nil)

// Snapshot implements objectapi.Sink.
func (s *sink) Snapshot(kind string, l objectapi.Listing) {
	switch kind {
	case s.cfg.Decoder.ConfigKind:
		s.listConfig(l)
	case s.cfg.Decoder.ServersKind:
		s.replaceServers(l)
	case s.cfg.Decoder.EvacuationsKind:
		s.replaceEvacuations(l)
	case peering.KindGateway:
		s.exchange.PresenceSink().Snapshot(kind, l)
	}
}

// Events implements objectapi.Sink.
func (s *sink) Events(kind string, l objectapi.Listing) {
	switch kind {
	case s.cfg.Decoder.ConfigKind:
		s.changeConfig(l)
	case s.cfg.Decoder.ServersKind:
		s.changeServers(l)
	case s.cfg.Decoder.EvacuationsKind:
		s.changeEvacuations(l)
	case peering.KindGateway:
		s.exchange.PresenceSink().Events(kind, l)
	}
}

// listConfig applies the configuration of a listing. While the operators may not have written again
// what the store lost, it confirms nothing. Afterwards it confirms the configuration in force, also if
// the listed one is older: what was acknowledged since would be listed.
func (s *sink) listConfig(l objectapi.Listing) {
	switch l.Recovery {
	case objectapi.Recovering:
		if _, _, ok := s.routes.Table(); !ok {
			s.inForce.awaitPeer()
		}
		if !s.writtenSince(l) {
			l.CurrentAsOf = unconfirmed
		}
		s.applyConfig(l)
	case objectapi.JustRecovered:
		s.applyConfig(l)
		s.routes.MarkCurrent(s.inForce.confirmable(l.CurrentAsOf))
	default:
		s.applyConfig(l)
	}
}

// writtenSince reports whether operators wrote the listed configuration since the store came back. The
// entry knew all of the era before up to l.HeldBefore, so that no older copy has this one under its number.
func (s *sink) writtenSince(l objectapi.Listing) bool {
	held, _, ok := s.routes.Table()
	for _, o := range l.Objects {
		table, isConfig, err := s.cfg.Decoder.Config(o)
		if err != nil || !isConfig || !ok {
			continue
		}
		number := objectapi.NumberOf(o.Version)
		same := table.Revision() == held.Revision() && number == objectapi.NumberOf(s.configVersion)
		return table.Revision() >= held.Revision() && number <= objectapi.NumberOf(l.HeldBefore) && !same
	}
	return false
}

// changeConfig applies the configuration of events. One that was written since the store came back is the
// newest one of all; the absence of events confirms nothing until then.
func (s *sink) changeConfig(l objectapi.Listing) {
	if l.Recovery == objectapi.Recovering && len(l.Objects) == 0 {
		return
	}
	s.applyConfig(l)
}

// unconfirmed is a time before any confirmation.
const unconfirmed = boottime.Instant(math.MinInt64 / 2)

// applyConfig applies the newest configuration of a listing or of events. If it can't be
// decoded, the last valid one stays in force and its confirmation isn't renewed.
func (s *sink) applyConfig(l objectapi.Listing) {
	asOf := s.inForce.confirmable(l.CurrentAsOf)
	for i := len(l.Objects) - 1; i >= 0; i-- {
		table, ok, err := s.cfg.Decoder.Config(l.Objects[i])
		if err != nil {
			s.cfg.Log.WithError(err).Error("configuration can't be decoded")
			return
		}
		if !ok {
			continue
		}
		if held, _, ok := s.routes.Table(); !ok || table.Revision() >= held.Revision() {
			s.configVersion = l.Objects[i].Version
		}
		if s.routes.Offer(table, asOf) {
			s.inForce.publish(l.Objects[i], table.Revision())
			s.cfg.Log.WithFields(logrus.Fields{"revision": table.Revision(), "object_revision": objectapi.NumberOf(l.Objects[i].Version), "store_era": objectapi.EraOf(l.Objects[i].Version)}).
				Info("configuration in force")
		}
		return
	}
	s.routes.MarkCurrent(asOf)
}

func (s *sink) replaceServers(l objectapi.Listing) {
	now := time.Now()
	var servers []upstream.Server
	for _, o := range l.Objects {
		if server, ok := s.decodeServer(o, now); ok {
			s.handleRestart(server, now)
			servers = append(servers, server)
		}
	}
	switch l.Recovery {
	case objectapi.Recovering:
		s.directory.MergeOlder(servers, now)
	case objectapi.JustRecovered:
		s.directory.ReplaceOlder(servers, now)
	default:
		s.directory.Replace(servers, now)
	}
	s.markServersCurrent(l)
	s.serversListed.Store(true)
	s.cfg.Log.WithFields(logrus.Fields{"servers": len(servers), "object_revision": objectapi.NumberOf(l.Revision), "store_era": objectapi.EraOf(l.Revision)}).Info("backend servers listed")
}

func (s *sink) changeServers(l objectapi.Listing) {
	now := time.Now()
	s.directory.MarkStoreAvailable(now)
	for _, o := range l.Objects {
		if o.Deleted {
			s.directory.Remove(o.Name, now)
			s.logServer(upstream.Server{Instance: o.Name}, "gone", o.Version)
			continue
		}
		server, ok := s.decodeServer(o, now)
		if !ok {
			s.directory.Remove(o.Name, now) // the object no longer describes a valid server
			continue
		}
		s.handleRestart(server, now)
		s.directory.Put(server)
		state := "ready"
		if server.Draining {
			state = "draining"
		}
		s.logServer(server, state, o.Version)
	}
	s.markServersCurrent(l)
}

// markServersCurrent records the time of a listing or of events, unless servers may be missing or older.
func (s *sink) markServersCurrent(l objectapi.Listing) {
	if l.Recovery != objectapi.Recovering {
		s.directory.MarkCurrent(l.CurrentAsOf)
	}
}

// handleRestart resets the ledger's state of a server that has restarted under the same name.
func (s *sink) handleRestart(server upstream.Server, now time.Time) {
	if !s.directory.IsRestart(server) {
		return
	}
	s.ledger.Restarted(placement.ServerKey(server.Instance), now)
	s.logServer(server, "restarted", 0)
}

func (s *sink) logServer(server upstream.Server, state string, revision uint64) {
	s.cfg.Log.WithFields(logrus.Fields{
		"instance": server.Instance, "service": server.Service, "server": server.Address, "state": state, "object_revision": objectapi.NumberOf(revision), "store_era": objectapi.EraOf(revision),
	}).Info("backend server changed")
}

// decodeServer decodes a registration and sets its region. It returns false for an invalid
// registration, so that the caller skips only this one and keeps the other servers.
func (s *sink) decodeServer(o objectapi.Object, now time.Time) (upstream.Server, bool) {
	server, err := s.cfg.Decoder.Server(o, now)
	if err != nil {
		s.cfg.Log.WithError(err).Warn("backend server can't be decoded")
		return server, false
	}
	server.Region = (*Node)(s).regionOf(server.Zone)
	return server, true
}
