package declared

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/briarturn/briarturn/config"
)

// maxTemplateCount is the maximum number of servers that one template expands
// to.
const maxTemplateCount = 20_000

// Placeholders of a ServerTemplate.
const (
	placeholderIndex = "{index}"
	placeholderZone  = "{zone}"
)

// BackendServerSet declares backend servers that belong together: engines of a
// pool or replicas of a plain service. It has either a list of servers or a
// template.
type BackendServerSet struct {
	// Pool is the name of the ModelPool or of the plain service.
	Pool         string `json:"pool" validate:"required,name"`
	PlainService bool   `json:"service"` // true for a plain service, false for engines
	// ChecksFencing reports whether the servers reject an order with an old
	// fencing number. If they do not, only the agent checks fences.
	ChecksFencing bool            `json:"checks_fencing"`
	Zones         []string        `json:"zones" validate:"required,min=1,dive,name" distinct:"."`
	Servers       []BackendServer `json:"servers,omitempty" validate:"dive" distinct:"Name"`
	Template      *ServerTemplate `json:"template,omitempty"`
}

// BackendServer is one server of a set.
type BackendServer struct {
	Name    string `json:"name" validate:"required,name"`
	Zone    string `json:"zone" validate:"required,name"`
	Address string `json:"address" validate:"required,addrport"` // of the engine or service
}

// ServerTemplate describes Count servers with consecutive indices from
// FirstIndex, assigned to the zones of the set in turn. In Name and Address,
// {index} and {zone} are replaced.
type ServerTemplate struct {
	Name       string `json:"name" validate:"required,max=128"`
	Address    string `json:"address" validate:"required,max=128"`
	FirstIndex int    `json:"first" validate:"min=0,max=1000000"`
	Count      int    `json:"count" validate:"min=1,max=20000"`
}

func (s *BackendServerSet) poolName(string) string { return s.Pool }

// Members returns the listed servers or those that the template expands to.
func (s *BackendServerSet) Members() []BackendServer {
	if s.Template == nil {
		return s.Servers
	}
	out := make([]BackendServer, s.Template.Count)
	for i := range out {
		out[i] = s.Template.expandMember(i, s.Zones[i%len(s.Zones)])
	}
	return out
}

func (t *ServerTemplate) expandMember(i int, zone string) BackendServer {
	fill := strings.NewReplacer(placeholderIndex, strconv.Itoa(t.FirstIndex+i), placeholderZone, zone)
	return BackendServer{Name: fill.Replace(t.Name), Zone: zone, Address: fill.Replace(t.Address)}
}

func init() { config.RegisterStructValidation(checkBackendServerSet, BackendServerSet{}) }

func checkBackendServerSet(sl validator.StructLevel) {
	s := sl.Current().Interface().(BackendServerSet)
	if (len(s.Servers) == 0) == (s.Template == nil) {
		config.ReportError(sl, s.Servers, "servers", "Servers", "set either servers or a template")
		return
	}
	if s.Template != nil {
		checkTemplate(sl, &s)
		return
	}
	zones := map[string]bool{}
	for _, z := range s.Zones {
		zones[z] = true
	}
	for i, server := range s.Servers {
		if !zones[server.Zone] {
			key := fmt.Sprintf("servers[%d].zone", i)
			config.ReportError(sl, server.Zone, key, key, fmt.Sprintf("%q is not one of the set's zones", server.Zone))
		}
	}
}

// checkTemplate expands the template and reports the first invalid server.
func checkTemplate(sl validator.StructLevel, s *BackendServerSet) {
	if len(s.Zones) == 0 || s.Template.Count < 1 || s.Template.Count > maxTemplateCount {
		return // reported by the field validation
	}
	seen := map[string]bool{}
	for _, m := range s.Members() {
		switch {
		case !config.IsName(m.Name):
			config.ReportError(sl, m, "template.name", "Template", fmt.Sprintf("expands to %q, which is not a valid name", m.Name))
			return
		case !config.IsAddrPort(m.Address):
			config.ReportError(sl, m, "template.address", "Template", fmt.Sprintf("expands to %q, which is not an IP:PORT address", m.Address))
			return
		case seen[m.Name]:
			config.ReportError(sl, m, "template.name", "Template", fmt.Sprintf("expands to %q more than once; use {index}", m.Name))
			return
		}
		seen[m.Name] = true
	}
}
