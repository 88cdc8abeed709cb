// Package servernotice keeps what backend servers announce in their responses to this entry:
// that they drain, or that they want no requests from it for a time.
//
// A response is the first sign of either, and the only one while the object API is
// unavailable. A notice holds whatever registrations, listings and other entries say of the
// server. Entries tell each other of servers that drain; a back-off binds only the entry to which it
// was named. A notice ends with the server: a later start under the same name has announced nothing,
// and a server that is no longer registered is dropped after a while. The time of a back-off
// ends by itself.
package servernotice
