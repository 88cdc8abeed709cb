// Package upstream holds the directory of backend servers, the connection pool, and
// the HTTP exchanges with the servers, one at a time on each connection.
//
// Guarantees: a request is written to one connection once and is never resent by
// this package; a response is accepted only if its head is valid and carries the request's own id;
// the end of a body that ends with its connection is reported only if the connection didn't break; a
// connection is closed after anything unexpected on it; what a server sends that is no answer is
// limited in bytes and in time, and silence isn't; errors show whether anything
// was written, so that the caller can distinguish "did not run" from "may have run".
package upstream
