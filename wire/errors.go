package wire

import "github.com/juju/errors"

// Errors of this package. Test for them with errors.Is.
const (
	// ErrNotSent is returned when no byte of the request left this process, so
	// that the peer did not run it.
	ErrNotSent = errors.ConstError("nothing was sent")
	// ErrClosed is returned after the server was shut down or the connection
	// of a call was closed as idle.
	ErrClosed = errors.ConstError("endpoint closed")
	// ErrOversize is returned for a datagram longer than MaxDatagramBytes.
	ErrOversize = errors.ConstError("datagram too large")
	// ErrUndecodable is returned for bytes that aren't a protobuf Datagram with
	// a body.
	ErrUndecodable = errors.ConstError("datagram undecodable")
	// ErrOutOfBounds is returned for a datagram with a field outside its bounds.
	ErrOutOfBounds = errors.ConstError("datagram field out of bounds")
)
