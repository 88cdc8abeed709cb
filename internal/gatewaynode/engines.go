package gatewaynode

import (
	"sync"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/routetable"
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

// serviceOf returns the service of a server, or nil if the server or its service is unknown.
func (n *Node) serviceOf(server uint64) *routetable.Service {
	name, ok := n.engines.service(n.directory, server)
	if !ok {
		return nil
	}
	table, _, ok := n.routes.Table()
	if !ok {
		return nil
	}
	service, _ := table.Service(name)
	return service
}

// sharesPace reports whether entries share the measured pace of a server.
func (n *Node) sharesPace(server uint64) bool {
	f := n.cfg.Options.Features
	return f.Enabled(f.ServerPace, n.serviceOf(server))
}

// engineProfile returns the engine profile of a server, or nil if its service has none or
// the server is unknown.
func (n *Node) engineProfile(server uint64) *placement.EngineProfile {
	service := n.serviceOf(server)
	if service == nil {
		return nil
	}
	return service.Engine
}
