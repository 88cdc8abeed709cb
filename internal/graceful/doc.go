// Package graceful shuts down an HTTP/1.1 server so that each request that a caller has
// sent on an open connection gets a response.
//
// A connection that handles no request may still have one in transit: in a kernel
// buffer, in the network, or partly read. If the server closed it, the caller couldn't
// tell whether that request has run. So the server first refuses the connection: it sends
// the response that refuses a request, closes the connection for writing, and discards
// its input until the caller closes it, without handling another request. A request that
// crosses the refusal on the network gets it as its response, and a caller that sent none
// sees a connection that it can't reuse.
//
// Guarantees:
//   - No request is handled on a connection after it was refused.
//   - A request that is handled gets its response before its connection is refused.
//   - A connection that was established gets a response: before the listener closes, the
//     kernel refuses further ones, which tells a caller that nothing was sent.
//   - Shutdown returns when every caller has closed its side, so that none sends on a
//     connection of this server to the next process that listens on the address. It waits
//     for a caller that doesn't close for one second, and never longer than the context.
//
// Not covered: a connection whose handshake takes longer than a tenth of a second while the
// listener closes is reset, and so is any that is established in this moment if the
// listener was bound to a network interface. Remove the address from the load balancer
// first. A caller that takes longer than half a second from opening a connection to its
// first request gets the refusal before it has sent anything, which an HTTP client may
// report as a failed request.
package graceful
