// Package upstream reaches the backend servers: which there are, connections to
// them, and one exchange at a time on each connection.
//
// Rules kept here: a request is written to one connection once and never again by
// itself; an answer counts only if it carries the request's own id; a connection
// on which anything was unexpected is closed; the caller learns whether anything
// was written, so that it can tell "did not run" from "may have run".
package upstream
