package engine

import (
	"context"
	"syscall"

	"github.com/juju/errors"
)

// Liveness is what a probe found.
type Liveness uint8

// Findings of a probe.
const (
	// LivenessUnknown: no answer in time. The engine hangs, is paused or unreachable,
	// and may still run what it was given.
	LivenessUnknown Liveness = iota
	// LivenessLive: it answers, and is the same life of it as before.
	LivenessLive
	// LivenessDied: the connection is refused, or it came back with another boot. What
	// it ran is lost.
	LivenessDied
)

// Probe tells an engine that died from one that lives, for the case that a
// stream broke. Boot is that of an earlier Load, empty if not known.
func (c *Client) Probe(ctx context.Context, boot string) Liveness {
	// Idle connections of an earlier life would answer with an error that looks
	// like a fault of the network.
	c.transport.CloseIdleConnections()
	l, err := c.Load(ctx)
	if err == nil {
		return livenessOf(l, boot)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return LivenessDied
	}
	return LivenessUnknown
}

func livenessOf(l *Load, boot string) Liveness {
	if boot != "" && l.BootID != "" && l.BootID != boot {
		return LivenessDied
	}
	return LivenessLive
}
