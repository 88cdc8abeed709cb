// Package responsehead checks the heads of the responses of servers. net/http accepts heads that
// RFC 9110 and RFC 9112 don't allow. What a server means by one is unknown, also where its body ends.
package responsehead

import (
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that a response's head is invalid. The request may have run.
const ErrInvalid = errors.ConstError("invalid response head")

// minFinal and maxFinal bound the status of a final response (RFC 9110, 15). A server may switch
// protocols (101) only if it was asked to, which no client here does.
const (
	minFinal = http.StatusOK
	maxFinal = 599
)

// Check returns ErrInvalid, with the fault, unless a head is that of a final response. A fault in a
// name may hide the field that says where the body ends (RFC 9112, 5.1 and 6.3).
func Check(status int, h http.Header) error {
	if status < minFinal || status > maxFinal {
		return errors.Annotatef(ErrInvalid, "status %03d", status)
	}
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Annotatef(ErrInvalid, "field name %q", name)
		}
	}
	return nil
}

// IsInterim reports whether a status is that of an interim response, which another head follows.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
