package routetable

// Switch says for which services a feature of the gateway is on.
type Switch string

// Values of a Switch.
const (
	SwitchOn  Switch = "on" // for all services with an engine profile
	SwitchOff Switch = "off"
)

// Features holds the switches of the features that decide under contention for a service's
// servers.
type Features struct {
	// Queue makes requests without room wait in one ordered queue of the entry.
	Queue Switch
	// LostServers makes entries share evidence of servers that don't serve.
	LostServers Switch
	// SilentAttempts moves streams whose server shows nothing past its forecast.
	SilentAttempts Switch
}

// Enabled reports whether a feature with the given switch is on for a service.
func (f Features) Enabled(s Switch, service *Service) bool {
	return s == SwitchOn && service != nil && service.Engine != nil
}
