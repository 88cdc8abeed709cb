package gatewaynode

import (
	"sync"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/upstream"
)

// engineIndex finds the service of a server by its key. It is rebuilt when the
// directory has changed. mu guards all fields and is taken before the directory's.
type engineIndex struct {
	mu       sync.Mutex
	version  uint64
	services map[uint64]string // by placement.ServerKey
}

func (x *engineIndex) service(d *upstream.Directory, server uint64) (string, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if version := d.Version(); x.services == nil || version != x.version {
		x.version = version
		x.services = map[uint64]string{}
		for _, s := range d.All() {
			x.services[placement.ServerKey(s.Instance)] = s.Service
		}
	}
	name, ok := x.services[server]
	return name, ok
}

func (x *engineIndex) knows(d *upstream.Directory, server uint64) bool {
	_, ok := x.service(d, server)
	return ok
}

// engineOf returns the engine that a server is; nil for a plain service or a
// server that isn't known.
func (n *Node) engineOf(server uint64) *placement.EngineProfile {
	name, ok := n.engines.service(n.directory, server)
	if !ok {
		return nil
	}
	table, _, ok := n.routes.Table()
	if !ok {
		return nil
	}
	service, ok := table.Service(name)
	if !ok {
		return nil
	}
	return service.Engine
}
