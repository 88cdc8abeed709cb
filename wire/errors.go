package wire

import "github.com/juju/errors"

// Errors of this package. Test with errors.Is.
const (
	// ErrNotSent: no byte of the request left this process, so the peer did
	// not run it.
	ErrNotSent = errors.ConstError("nothing was sent")
	// ErrClosed: the endpoint was closed.
	ErrClosed = errors.ConstError("endpoint closed")
	// ErrOversize: a datagram exceeds MaxDatagramBytes.
	ErrOversize = errors.ConstError("datagram too large")
	// ErrUndecodable: a datagram isn't a protobuf Datagram with a body.
	ErrUndecodable = errors.ConstError("datagram undecodable")
	// ErrOutOfBounds: a field of a datagram is outside its bounds.
	ErrOutOfBounds = errors.ConstError("datagram field out of bounds")
)
