package membership

import "time"

// Limits of the pulls of configuration by an agent.
const (
	// minPullInterval is the least time between two pulls of an agent. A burst
	// of changes is pulled at once.
	minPullInterval = 2 * time.Second
	// pullTimeout bounds one pull. If segments are lost, a new connection after
	// 2 s succeeds earlier than the third SYN of the old one after 3 s. It is
	// shorter than minPullInterval, since the next try is skipped while a pull
	// is running.
	pullTimeout = minPullInterval - 2*tickInterval
	// maxPullTries is the number of pulls for one offer. Each answer to a report
	// is a new offer.
	maxPullTries = 3
)

// configOffer is a configuration version that an entry offered.
type configOffer struct {
	version   uint64
	rpcAddr   string // drpc address of the entry
	triesLeft int
	pulledAt  time.Time // time of the last pull
}

// update records an offer. Pulls go to the entry that sent the last offer, since
// a message from it has just arrived.
func (n *configOffer) update(version uint64, rpcAddr string) {
	if version == 0 || version < n.version {
		return
	}
	n.version = version
	n.rpcAddr = rpcAddr
	n.triesLeft = maxPullTries
}

// pullConfig requests a pull of the offered version and retries failed pulls.
func (r *Reporter) pullConfig(now time.Time, out *Effects) {
	n := &r.offer
	if n.version <= r.config || n.triesLeft == 0 || now.Sub(n.pulledAt) < minPullInterval {
		return
	}
	n.triesLeft--
	n.pulledAt = now
	out.PullConfigFrom = n.rpcAddr
	out.PullConfigVersion = n.version
}
