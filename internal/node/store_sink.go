package node

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// KindVM is the object kind of the platform's VM list. A VM bears the name of
// the backend server or entry on it.
const KindVM = "VM"

// watchedKinds is what an entry follows. The object API watches one kind a call,
// and each waiting watch counts as a read a second.
func watchedKinds() []string { return append(declared.Kinds(), KindEntry, KindVM) }

// storeSink deals what the watch brings to the catalog and to membership. The
// watcher makes one call at a time.
type storeSink struct {
	node  *Entry
	peers map[string]*wirepb.Peer // by name, as announced
}

func newStoreSink(n *Entry) *storeSink { return &storeSink{node: n, peers: map[string]*wirepb.Peer{}} }

// Snapshot implements objectapi.Sink.
func (s *storeSink) Snapshot(kind string, l objectapi.Listing) {
	switch kind {
	case KindEntry:
		if l.Recovery != objectapi.Recovering { // otherwise the others write their presence again
			clear(s.peers)
		}
		s.takePeers(l.Objects)
		// A deletion before the first list, or in a gap of the watch, shows only
		// by absence.
		if !lists(l.Objects, s.node.cfg.Name) && s.node.announced.Load() {
			s.node.announceAgain()
		}
	case KindVM:
		s.takeVMs(l.Objects)
	default:
		s.node.floor.listed(l.Revision) // before the state can become complete
		s.node.catalog.Snapshot(kind, l)
	}
}

// Events implements objectapi.Sink.
func (s *storeSink) Events(kind string, l objectapi.Listing) {
	switch kind {
	case KindEntry:
		s.takePeers(l.Objects)
	case KindVM:
		s.takeVMs(l.Objects)
	default:
		s.node.catalog.Events(kind, l)
	}
}

// lists reports whether objects contain one with a name.
func lists(objects []objectapi.Object, name string) bool {
	return slices.ContainsFunc(objects, func(o objectapi.Object) bool { return o.Name == name && !o.Deleted })
}

func (s *storeSink) takePeers(objects []objectapi.Object) {
	if len(objects) == 0 {
		return
	}
	for _, o := range objects {
		if o.Deleted {
			delete(s.peers, o.Name)
			if o.Name == s.node.cfg.Name {
				s.node.announceAgain()
			}
			continue
		}
		if p := peerOf(o); p != nil {
			s.peers[o.Name] = p
		}
	}
	list := make([]*wirepb.Peer, 0, len(s.peers))
	for _, p := range s.peers {
		list = append(list, p)
	}
	s.node.mergePeers(list)
}

// takeVMs marks what the list says is leaving. Absence from the list says
// nothing: it lags, and a new VM isn't in it yet.
func (s *storeSink) takeVMs(objects []objectapi.Object) {
	var leaving []string
	for _, o := range objects {
		var vm objectapi.VM
		if o.Deleted || json.Unmarshal(o.Data, &vm) != nil {
			continue
		}
		if vm.State == objectapi.VMLeaving {
			leaving = append(leaving, o.Name)
		}
	}
	if len(leaving) > 0 {
		s.node.runner.With(func(o *membership.Observer) { o.MarkLeaving(leaving) })
	}
}

// mergePeers tells membership of entries that announced themselves, and the
// scheduler how many there are to share limits with.
func (n *Entry) mergePeers(list []*wirepb.Peer) {
	n.runner.With(func(o *membership.Observer) { o.MergePeers(time.Now(), list) })
	n.countEntries()
}

func (n *Entry) countEntries() {
	count := 0
	n.runner.With(func(o *membership.Observer) { count = len(o.Peers()) })
	n.entries.Store(int64(max(count, 1)))
	n.scheduler.SetEntries(max(count, 1))
}
