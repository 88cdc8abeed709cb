package wire

import (
	"time"

	"github.com/briarturn/briarturn/serverlimit"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// ServerRateToProto converts an observation of a server's rate to its message.
func ServerRateToProto(o serverlimit.Observation) *wirepb.ServerRate {
	return &wirepb.ServerRate{
		Server:    o.Server,
		PerSecond: min(o.PerSecond, maxRatePerSecond),
		AgeMs:     uint64(max(o.Age, 0).Milliseconds()),
	}
}

// ServerRateFromProto converts a message that passed Check.
func ServerRateFromProto(m *wirepb.ServerRate) serverlimit.Observation {
	return serverlimit.Observation{
		Server:    m.GetServer(),
		PerSecond: m.GetPerSecond(),
		Age:       time.Duration(m.GetAgeMs()) * time.Millisecond,
	}
}
