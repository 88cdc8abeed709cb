// Package eligible narrows the backend servers of a service to those that a request may
// be sent to now. Each stage states one condition; a server has to meet all. It decides on
// what it is given and does no I/O.
package eligible
