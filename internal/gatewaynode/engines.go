package gatewaynode

import (
	"sync"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/upstream"
)

// serviceIndex maps the key of a server to its service. It is rebuilt when the directory has
// changed. mu guards all fields and is locked before the directory's mutex.
type serviceIndex struct {
	mu       sync.Mutex
	version  uint64
	services map[uint64]string // by placement.ServerKey
}

func (x *serviceIndex) service(d *upstream.Directory, server uint64) (string, bool) {
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

func (x *serviceIndex) contains(d *upstream.Directory, server uint64) bool {
	_, ok := x.service(d, server)
	return ok
}

// engineProfile returns the engine profile of a server, or nil if its service has none or
// the server is unknown.
func (n *Node) engineProfile(server uint64) *placement.EngineProfile {
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
