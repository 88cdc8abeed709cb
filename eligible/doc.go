// Package eligible selects the backend servers of a service that a request may be sent to now.
// Each Condition checks one property; a server must meet all of them. The package does no I/O;
// its inputs are arguments.
package eligible
