package allowance

import "time"

// delistedRetention is how long an entry still counts after it is no longer listed: its last
// sends may be in flight, and it may return under the same name.
const delistedRetention = time.Minute

// entrySet holds the entries that share an allowance. The lock of its owner guards it.
type entrySet struct {
	delistedAt map[string]time.Time // when an entry was no longer listed, by name; zero: still listed
	nextExpiry time.Time            // when the next delisted entry expires; zero: no entry is delisted
	version    uint64               // incremented when a name is added or dropped; starts at 1
}

func newEntrySet(self string) entrySet {
	return entrySet{delistedAt: map[string]time.Time{self: {}}, version: 1}
}

// set replaces the list of names.
func (n *entrySet) set(listed []string, now time.Time) {
	present := make(map[string]bool, len(listed))
	for _, name := range listed {
		present[name] = true
		if _, known := n.delistedAt[name]; !known {
			n.version++
		}
		n.delistedAt[name] = time.Time{}
	}
	for name, since := range n.delistedAt {
		if !present[name] && since.IsZero() {
			n.delistedAt[name] = now
			n.scheduleExpiry(now.Add(delistedRetention))
		}
	}
}

// expire drops the entries that were delisted more than delistedRetention ago.
func (n *entrySet) expire(now time.Time) {
	if n.nextExpiry.IsZero() || now.Before(n.nextExpiry) {
		return
	}
	n.nextExpiry = time.Time{}
	for name, since := range n.delistedAt {
		switch {
		case since.IsZero(): // listed
		case now.Sub(since) >= delistedRetention:
			delete(n.delistedAt, name)
			n.version++
		default:
			n.scheduleExpiry(since.Add(delistedRetention))
		}
	}
}

// scheduleExpiry makes expire run its check at the given time or earlier.
func (n *entrySet) scheduleExpiry(at time.Time) {
	if n.nextExpiry.IsZero() || at.Before(n.nextExpiry) {
		n.nextExpiry = at
	}
}
