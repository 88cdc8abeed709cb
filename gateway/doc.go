// Package gateway serves routed HTTP requests. It finds the route and the workspace
// of a request, sends the request to a backend server and relays the response byte
// for byte.
//
// Guarantees:
//
//   - A refusal with status 503 or 429 states that the request has not run and will
//     not run. Where that is not certain, the status is 502 or 504.
//   - A request that may run only once is sent to another server only if the previous
//     server proved that it did not run.
//   - A success is relayed only with the server's own head and complete body. If the
//     body ends early, the gateway aborts the caller's connection and never ends the
//     response normally.
//   - A resumable stream continues on another server after the last complete event
//     that the caller received. No event is sent twice and none is left out.
//   - Only a configuration of bounded age authorizes an API key or proves that a route
//     doesn't exist. With an older one, requests that need a key are refused.
//   - An exchange holds 1 MB of a response at most beyond what it has relayed; above
//     64 KB, all of them together hold Options.BodiesBytes. A limit in bytes and in time
//     ends an attempt whose server sends what brings the caller nothing.
package gateway
