// Package wire implements the communication between the system's own
// processes: drpc for request streams and calls that need a response, and gnet
// datagrams for load, liveness and digests. The messages are protobuf, defined
// in package wirepb.
//
// Server serves the drpc services of an agent or an entry, and Dialer calls
// them. drpc runs one stream at a time on a connection, so an open stream
// occupies a connection; Dialer pools idle connections per address. A Dialer
// error that is ErrNotSent guarantees that no part of the request left this
// process.
//
// A stream handler must always have a Recv pending or have read everything
// that was sent: drpc reads a connection in order and buffers one unread
// message, so it doesn't see a cancel behind an unread message. The run then
// continues after its caller has gone.
//
// Datagrams is a UDP endpoint. Every received datagram is decoded and passed
// through Check, the only place that bounds the fields of a datagram, before
// the handler is called.
package wire
