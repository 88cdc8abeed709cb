package membership

import "time"

// Pulling configuration.
const (
	// pullEvery is the least time between two pulls of an agent. In a burst of
	// changes it pulls once for all that came in between.
	pullEvery = 2 * time.Second
	// pullLimit bounds one pull. Where segments are lost, a new connection
	// after 2 s is sooner through than the third SYN of the old one, after 3 s.
	// It ends before the next try, which would be left out otherwise.
	pullLimit = pullEvery - 2*tickInterval
	// pullTries is how often an agent pulls for one offer. The answer to each
	// of its reports is a further offer.
	pullTries = 3
)

// configNews is a version that an entry offered.
type configNews struct {
	version uint64
	from    string // drpc address of the entry
	tries   int
	at      time.Time // of the last pull
}

// offered notes what an entry offers. The last one to do so is asked: it was
// heard just now.
func (n *configNews) offered(version uint64, from string) {
	if version == 0 || version < n.version {
		return
	}
	n.version = version
	n.from = from
	n.tries = pullTries
}

// pullConfig pulls what was offered, again where a pull failed.
func (r *Reporter) pullConfig(now time.Time, out *Effects) {
	n := &r.news
	if n.version <= r.config || n.tries == 0 || now.Sub(n.at) < pullEvery {
		return
	}
	n.tries--
	n.at = now
	out.PullConfigFrom = n.from
	out.PullConfigVersion = n.version
}
