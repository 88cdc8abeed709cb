package membership

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// Spreading crash evidence.
const (
	// evidenceFanout is how many peers an entry tells at once of evidence that
	// is new to it.
	evidenceFanout = 3
	// evidenceRounds is how many digests repeat it, for the peers that the
	// first wave missed.
	evidenceRounds = 12
	// maxRumors bounds the evidence that is passed on at any one time.
	maxRumors = 256
	// evidenceBatch is the most that one datagram carries.
	evidenceBatch = 24
	// waveRate and waveBurst bound how often evidence is passed on at once;
	// past it, only digests carry it.
	waveRate  = 2
	waveBurst = 16
	// seenFor is how long evidence counts as known where it has no expiry.
	seenFor = 10 * time.Minute
)

// rumorKey tells pieces of evidence apart. The same death reported again with
// other counts is news.
type rumorKey struct {
	fingerprint, death uint64
	deaths             uint32
	quarantined        bool
}

// rumor is a piece of evidence that is known here.
type rumor struct {
	evidence *wirepb.Evidence
	expires  time.Time
	left     int // digests that will still repeat it
}

// rumors is the evidence known here, bounded.
type rumors struct {
	known map[rumorKey]*rumor
	hot   []*rumor // oldest first, left > 0
	waves *rate.Limiter
}

func newRumors() rumors {
	return rumors{known: map[rumorKey]*rumor{}, waves: rate.NewLimiter(waveRate, waveBurst)}
}

// add notes evidence and returns what was new.
func (r *rumors) add(now time.Time, list []*wirepb.Evidence) []*wirepb.Evidence {
	var fresh []*wirepb.Evidence
	for _, e := range list {
		key := rumorKey{e.GetFingerprint(), e.GetDeath(), e.GetDeaths(), e.GetQuarantined()}
		if old := r.known[key]; old != nil && now.Before(old.expires) {
			continue
		}
		if len(r.known) >= maxRumors {
			r.expire(now)
		}
		if len(r.known) >= maxRumors {
			// Told to the caller but not passed on: a flood of evidence must
			// not take the memory of the entries.
			fresh = append(fresh, e)
			continue
		}
		ttl := time.Duration(e.GetTtlMs()) * time.Millisecond
		if ttl <= 0 || ttl > seenFor {
			ttl = seenFor
		}
		item := &rumor{evidence: e, expires: now.Add(ttl), left: evidenceRounds}
		r.known[key] = item
		r.hot = append(r.hot, item)
		fresh = append(fresh, e)
	}
	return fresh
}

// expire forgets what has run out.
func (r *rumors) expire(now time.Time) {
	for key, item := range r.known {
		if !now.Before(item.expires) {
			delete(r.known, key)
		}
	}
}

// next returns up to n pieces for a digest and counts them as repeated.
func (r *rumors) next(now time.Time, n int) []*wirepb.Evidence {
	var list []*wirepb.Evidence
	var rest, again []*rumor
	for _, item := range r.hot {
		switch {
		case !now.Before(item.expires) || item.left == 0:
		case len(list) < n:
			list = append(list, item.evidence)
			item.left--
			again = append(again, item)
		default:
			rest = append(rest, item)
		}
	}
	r.hot = append(rest, again...)
	return list
}

// AddEvidence takes evidence that arose at this entry and tells some peers.
func (o *Observer) AddEvidence(now time.Time, list []*wirepb.Evidence) Effects {
	var out Effects
	o.learnEvidence(now, list, &out)
	out.NewEvidence = nil // the caller has it
	return out
}

// learnEvidence notes evidence and passes on at once what is new.
func (o *Observer) learnEvidence(now time.Time, list []*wirepb.Evidence, out *Effects) {
	fresh := o.rumors.add(now, list)
	if len(fresh) == 0 {
		return
	}
	out.NewEvidence = append(out.NewEvidence, fresh...)
	if !o.rumors.waves.AllowN(now, 1) {
		return
	}
	for _, p := range o.peers.pick(o.cfg.Rand, evidenceFanout) {
		for i := 0; i < len(fresh); i += evidenceBatch {
			out.send(p.addr, evidenceMessage(fresh[i:min(i+evidenceBatch, len(fresh))]))
		}
	}
}
