// Package placement decides where a prompt runs.
package placement

// Engine is a stub filled below.
type Engine struct{}
