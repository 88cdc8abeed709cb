package ctl

import (
	"context"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/slo"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1 // it was tried and failed, or a check did not hold
	ExitUsage       = 2 // arguments or input are wrong; asking again is no use
	ExitUnavailable = 3 // a peer was out of reach, or the time ran out; ask again
)

// errUsage: arguments that the parser accepts but that make no sense.
const errUsage = errors.ConstError("invalid arguments")

// errCheck: a result that was asked for does not hold.
const errCheck = errors.ConstError("check failed")

// exitCode maps an error to the exit code.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case isAny(err, errUsage, ErrManifest, declared.ErrUnknownKind, load.ErrMix, load.ErrOptions, slo.ErrInvalidLevel, objectapi.ErrTooLarge):
		return ExitUsage
	case isAny(err, objectapi.ErrUnavailable, objectapi.ErrThrottled, objectapi.ErrOutcomeUnknown,
		admin.ErrUnavailable, context.DeadlineExceeded, context.Canceled):
		return ExitUnavailable
	}
	return ExitFailed
}

func isAny(err error, targets ...error) bool {
	for _, t := range targets {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}
