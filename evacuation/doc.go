// Package evacuation keeps which availability zones operators have evacuated: nothing
// new is sent to the backend servers of such a zone until it is restored. What runs
// there goes on.
//
// Rules kept here: an evacuation holds until its end was read, however old the word of
// it is; a zone that was restored counts as just restored until the list of backend
// servers was proved current after that, since its servers may be cold by then.
package evacuation
