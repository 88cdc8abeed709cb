package gatewaynode

import (
	"github.com/briarturn/briarturn/objectapi"
)

// evacuationsWaitShare is the fraction of Config.EvacuateWithin for which a watch of the
// evacuated zones waits. Without faults the list of them is at most one wait old.
const evacuationsWaitShare = 0.5

// evacuationEnabled reports whether evacuation of zones is configured.
func (n *Node) evacuationEnabled() bool {
	return n.cfg.Decoder.EvacuationsKind != "" && n.cfg.EvacuateWithin > 0
}

func (n *Node) zonesListed() bool {
	_, ok := n.zones.Age()
	return ok
}

// regionOf returns the region of a zone, or an empty string if it is unknown.
func (n *Node) regionOf(zone string) string {
	if region, ok := n.cfg.Regions[zone]; ok || zone != n.cfg.Zone {
		return region
	}
	return n.cfg.Region
}

func (s *sink) replaceEvacuations(l objectapi.Listing) {
	zones := make([]string, len(l.Objects))
	for i, o := range l.Objects {
		zones[i] = o.Name
	}
	if l.Recovery == objectapi.Recovering {
		for _, zone := range s.zones.Merge(zones) {
			s.logZone(zone, "evacuated", l.Revision)
		}
		return
	}
	began, ended := s.zones.Replace(zones, l.CurrentAsOf)
	for _, zone := range began {
		s.logZone(zone, "evacuated", l.Revision)
	}
	for _, zone := range ended {
		s.logZone(zone, "restored", l.Revision)
	}
}

func (s *sink) changeEvacuations(l objectapi.Listing) {
	for _, o := range l.Objects {
		switch {
		case o.Deleted && s.zones.End(o.Name):
			s.logZone(o.Name, "restored", o.Version)
		case !o.Deleted && s.zones.Begin(o.Name):
			s.logZone(o.Name, "evacuated", o.Version)
		}
	}
	if l.Recovery != objectapi.Recovering {
		s.zones.MarkCurrent(l.CurrentAsOf)
	}
}

func (s *sink) logZone(zone, state string, revision uint64) {
	s.cfg.Log.WithField("zone", zone).WithField("state", state).WithField("object_revision", objectapi.NumberOf(revision)).Info("availability zone changed")
}
