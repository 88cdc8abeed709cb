package warmup

import "time"

// forgetAfter is how long the name of an entry counts that isn't listed any more: its last
// sends may be under way, and it may be back under its name.
const forgetAfter = time.Minute

// names are the entries that share an allowance. Their owner's lock guards them.
type names struct {
	gone    map[string]time.Time // by name: since when it isn't listed; zero: it is
	next    time.Time            // when the first of those that are gone is dropped; zero: none is gone
	version uint64               // rises whenever a name is added or dropped; 0: none was
}

func newNames(self string) names {
	return names{gone: map[string]time.Time{self: {}}, version: 1}
}

// set takes the complete list of names.
func (n *names) set(listed []string, now time.Time) {
	present := make(map[string]bool, len(listed))
	for _, name := range listed {
		present[name] = true
		if _, known := n.gone[name]; !known {
			n.version++
		}
		n.gone[name] = time.Time{}
	}
	for name, since := range n.gone {
		if !present[name] && since.IsZero() {
			n.gone[name] = now
			n.dropAt(now.Add(forgetAfter))
		}
	}
}

// forget drops those that have been gone for long.
func (n *names) forget(now time.Time) {
	if n.next.IsZero() || now.Before(n.next) {
		return
	}
	n.next = time.Time{}
	for name, since := range n.gone {
		switch {
		case since.IsZero(): // listed
		case now.Sub(since) >= forgetAfter:
			delete(n.gone, name)
			n.version++
		default:
			n.dropAt(since.Add(forgetAfter))
		}
	}
}

// dropAt notes that a name is to be dropped at a time.
func (n *names) dropAt(at time.Time) {
	if n.next.IsZero() || at.Before(n.next) {
		n.next = at
	}
}
