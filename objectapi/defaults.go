package objectapi

import "time"

// Defaults of a client of the object API.
const (
	// DefaultCallTimeout bounds one try of a call, and what a watch may take
	// beyond its wait.
	DefaultCallTimeout = 2 * time.Second
	// DefaultReadTries is how often a read is tried in all.
	DefaultReadTries = 3
	// DefaultReadsPerSecond and DefaultWritesPerSecond are one process's own
	// limits. They only keep a process that runs wild from starving the rest.
	DefaultReadsPerSecond  = 50
	DefaultWritesPerSecond = 20
	// DefaultIdleConnections is how many idle connections are kept.
	DefaultIdleConnections = 8
)
