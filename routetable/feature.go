package routetable

import "time"

// Switch says for which services a feature of the gateway is on.
type Switch string

// Values of a Switch.
const (
	SwitchAuto Switch = "auto" // for services with mixed objectives
	SwitchOn   Switch = "on"   // for all services with an engine profile
	SwitchOff  Switch = "off"
)

// DefaultMixedObjectives is the ObjectiveRatio from which the objectives of a service count as
// mixed: a request with the longest objective can wait while a dozen with the shortest one
// are served one after the other, so that their order decides who is on time.
const DefaultMixedObjectives = 12

// Features holds the switches of the features that decide under contention for a service's
// servers.
type Features struct {
	// Queue makes requests without room wait in one ordered queue of the entry.
	Queue Switch
	// LostServers makes entries share evidence of servers that don't serve.
	LostServers Switch
	// SilentAttempts moves streams whose server shows nothing past its forecast.
	SilentAttempts Switch
	// MixedObjectives is the ObjectiveRatio from which SwitchAuto is on.
	MixedObjectives float64
}

// Enabled reports whether a feature with the given switch is on for a service.
func (f Features) Enabled(s Switch, service *Service) bool {
	if service == nil || service.Engine == nil {
		return false
	}
	switch s {
	case SwitchOn:
		return true
	case SwitchAuto:
		return service.ObjectiveRatio >= f.MixedObjectives && f.MixedObjectives > 0
	}
	return false
}

// setObjectiveRatios sets the ObjectiveRatio of all services.
func setObjectiveRatios(services map[string]*Service, routes []Route) {
	type span struct{ shortest, longest time.Duration }
	spans := map[string]span{}
	for _, r := range routes {
		if r.Kind != Stream || r.Objective <= 0 {
			continue
		}
		for _, t := range r.Targets {
			s, known := spans[t.Service]
			if !known {
				s = span{shortest: r.Objective, longest: r.Objective}
			}
			spans[t.Service] = span{shortest: min(s.shortest, r.Objective), longest: max(s.longest, r.Objective)}
		}
	}
	for name, s := range spans {
		if service := services[name]; service != nil {
			service.ObjectiveRatio = float64(s.longest) / float64(s.shortest)
		}
	}
}
