// Package platformtest gives a objectapi.Store for the tests of programs that
// embed declared, lease or claim.
package objectapitest

import (
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// NewStore returns an empty store that lives in memory, has no faults and
// forgets everything with the process.
func NewStore() objectapi.Store { return standin.NewMemory(standin.Config{}) }
