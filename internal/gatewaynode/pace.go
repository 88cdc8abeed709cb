package gatewaynode

import "time"

// An entry that isn't a reader relies on the readers of its region until their state is older
// than a limit, and then reads the store itself. If all readers are lost just after they
// confirmed their state, a change reaches the entry only after the limit. So the limit
// follows from the time within which a change must be in force, and the waits of the watches
// from the limit.
const (
	// directReadTime is the time that an entry needs to read a change itself once the state
	// from its readers is too old: until a suspended watch notices, and one call.
	directReadTime = 400 * time.Millisecond
	// pullSlack is by how much the state of an entry may be older than that of its readers
	// without faults: two rounds of pulls.
	pullSlack = 600 * time.Millisecond
	// relistTime is the time from a watch without a response to the state that a list
	// returns: the first pause between two calls, and one call.
	relistTime = 200 * time.Millisecond
	// minWait keeps the watches of a deployment with a very short bound from following each
	// other without a pause.
	minWait = 200 * time.Millisecond
)

// pace is how a kind is kept current.
type pace struct {
	wait   time.Duration // longest wait of one watch
	maxAge time.Duration // age of the state up to which an entry relies on its readers
	// responseTimeout is how long after its wait a watch may take to respond. The list that
	// follows must arrive before the state at a reader is older than maxAge. 0: the timeout
	// of a call.
	responseTimeout time.Duration
}

// configPace returns the pace of the configuration if a change must be in force within a
// time. A confirmation is dated before its watch began to wait, and the next one arrives a
// wait later, so that the age at a reader reaches two waits.
func configPace(within time.Duration) pace {
	maxAge := ageLimit(within, maxConfigPullAge)
	wait := max(min((maxAge-pullSlack)/2, maxConfigWait), minWait)
	return pace{wait: wait, maxAge: maxAge, responseTimeout: maxAge - 2*wait - relistTime}
}

// serversPace returns the pace of the list of backend servers if a server must receive no new
// requests within a time after it announced that it leaves. A watch without changes confirms
// the state at its end, so that the age at a reader reaches one wait.
func serversPace(within time.Duration) pace {
	maxAge := ageLimit(within, maxServersPullAge)
	wait := max(min(maxAge-pullSlack, maxServersWait), minWait)
	return pace{wait: wait, maxAge: maxAge, responseTimeout: maxAge - wait - relistTime}
}

// evacuationsPace returns the pace of the evacuated zones if no new requests may go to a zone
// within a time after its evacuation.
func evacuationsPace(within time.Duration) pace {
	wait := time.Duration(evacuationsWaitShare * float64(within))
	maxAge := min(wait+pullAgeSlack, within-directReadTime)
	return pace{wait: wait, maxAge: maxAge, responseTimeout: max(maxAge-wait-relistTime, minWait)}
}

// ageLimit returns the age up to which an entry relies on its readers, at most longest, if a
// change must be in force within a time; 0: any time.
func ageLimit(within, longest time.Duration) time.Duration {
	if within <= 0 {
		return longest
	}
	return min(within-directReadTime, longest)
}
