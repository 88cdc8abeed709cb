// Package graceful ends an HTTP/1.1 server so that each request that a caller has
// sent on an open connection gets an answer.
//
// A connection on which no request is being handled may have one on its way: in the
// kernel, in the network, or half read. Closing it leaves the caller to guess
// whether that request has run. So a connection is first notified: it gets the answer
// that refuses a request, is closed for writing, and is read to its end without
// another request being handled. A request that crosses the refusal has it for an
// answer, and a caller that sent none sees a connection that it can't use again.
//
// Guarantees:
//   - No request is handled on a connection after it was notified.
//   - A request that is handled gets its answer before its connection is notified.
//   - Shutdown returns when every caller has closed its side, so that none sends on
//     a connection of this server to whoever listens on the address next. A caller
//     that doesn't close is waited for a second, and nobody longer than the context.
//
// What it can't cover: a connection that the kernel opens between the last accept
// and the listener's close is reset. Take the address out of the balancer first.
package graceful
