package upstream

import (
	"net"
	"syscall"

	"github.com/juju/errors"
)

// DialFailure is what a failed attempt to connect shows of a server.
type DialFailure uint8

// Kinds of DialFailure.
const (
	DialNone    DialFailure = iota // nothing: no attempt to connect failed, or for a reason of this VM
	DialRefused                    // the VM has replied that no process listens at the address
	DialSilent                     // no reply in time, or the VM is unreachable
)

// DialFailureOf returns what an error of Pool shows of a server.
func DialFailureOf(err error) DialFailure {
	dial := (*net.OpError)(nil)
	if !errors.As(err, &dial) || dial.Op != "dial" {
		return DialNone
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case dial.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return DialSilent
	}
	return DialNone
}
