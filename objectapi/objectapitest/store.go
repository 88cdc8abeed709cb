// Package objectapitest provides an objectapi.Store for the tests of programs
// that embed declared, lease or claim.
package objectapitest

import (
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// NewStore returns an empty in-memory store without faults. Its content is
// lost when the process ends.
func NewStore() objectapi.Store { return standin.NewMemory(standin.Config{}) }
