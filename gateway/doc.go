// Package gateway serves routed HTTP requests: it finds the route and the
// workspace, sends the request to a backend server, and gives the caller the
// answer byte for byte.
//
// Guarantees:
//
//   - A refusal with status 503 or 429 says that the request has not run and never
//     will; where that isn't certain the answer is 502 or 504.
//   - A request that may run only once is sent to one more server only if the one
//     before proved that it did not run.
//   - A success is passed on only with the server's own head and whole body. One
//     that ends early ends the caller's connection, never the answer in good order.
//   - A stream that may be resumed goes on at another server behind the last whole
//     event that the caller got; no event is given twice and none is left out.
//   - Keys and routes are judged by a configuration whose age is bounded; beyond
//     the bound requests that need a key are refused.
package gateway
