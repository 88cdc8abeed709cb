package gatewaynode

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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
		s.applyConfig(l)
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
		s.applyConfig(l)
	case s.cfg.Decoder.ServersKind:
		s.changeServers(l)
	case s.cfg.Decoder.EvacuationsKind:
		s.changeEvacuations(l)
	case peering.KindGateway:
		s.exchange.PresenceSink().Events(kind, l)
	}
}

// applyConfig applies the newest configuration of a listing or of events. If it can't be
// decoded, the last valid one stays in force and its confirmation isn't renewed.
func (s *sink) applyConfig(l objectapi.Listing) {
	for i := len(l.Objects) - 1; i >= 0; i-- {
		table, ok, err := s.cfg.Decoder.Config(l.Objects[i])
		if err != nil {
			s.cfg.Log.WithError(err).Error("configuration can't be decoded")
			return
		}
		if !ok {
			continue
		}
		if s.routes.Offer(table, l.CurrentAsOf) {
			s.cfg.Log.WithFields(logrus.Fields{"revision": table.Revision(), "object_revision": l.Objects[i].Version}).
				Info("configuration in force")
		}
		return
	}
	s.routes.MarkCurrent(l.CurrentAsOf)
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
	s.directory.Replace(servers, now)
	s.directory.MarkCurrent(l.CurrentAsOf)
	s.serversListed.Store(true)
	s.cfg.Log.WithFields(logrus.Fields{"servers": len(servers), "object_revision": l.Revision}).Info("backend servers listed")
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
	s.directory.MarkCurrent(l.CurrentAsOf)
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
		"instance": server.Instance, "service": server.Service, "server": server.Address, "state": state, "object_revision": revision,
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
