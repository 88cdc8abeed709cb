package objectapi

import "time"

// Defaults of a client of the object API.
const (
	// DefaultCallTimeout limits one attempt of a call, and the time that a
	// watch may take beyond its wait.
	DefaultCallTimeout = 2 * time.Second
	// DefaultReadTries is the maximum number of attempts of a read.
	DefaultReadTries = 3
	// DefaultReadsPerSecond and DefaultWritesPerSecond are the rate limits of
	// one process. Their only purpose is to prevent a faulty process from
	// starving the others.
	DefaultReadsPerSecond  = 50
	DefaultWritesPerSecond = 20
	// DefaultIdleConnections is the maximum number of idle connections that
	// are kept.
	DefaultIdleConnections = 8
)
