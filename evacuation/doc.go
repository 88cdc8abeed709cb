// Package evacuation tracks which availability zones operators have evacuated: no new requests
// are sent to the backend servers of such a zone until it is restored. Running requests
// continue.
//
// Invariants: an evacuation lasts until its end is read from the store, however old the
// information is; a restored zone counts as recently restored until the list of backend servers
// is confirmed to be current as of a later time, because its servers may have become cold.
package evacuation
