package membership

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// Limits of the propagation of crash evidence.
const (
	// evidenceFanout is the number of peers that an entry sends new evidence to
	// at once.
	evidenceFanout = 3
	// evidenceRepeats is the number of digests that repeat a piece of evidence,
	// for the peers that the first wave missed.
	evidenceRepeats = 12
	// maxEvidence bounds the evidence that is kept and relayed at any time.
	maxEvidence = 256
	// maxEvidencePerDatagram is the number of pieces of evidence in a datagram.
	maxEvidencePerDatagram = 24
	// relayRate, per second, and relayBurst bound how often evidence is relayed
	// at once. Beyond them only digests carry it.
	relayRate  = 2
	relayBurst = 16
	// maxEvidenceTTL is the longest time for which evidence is kept, and the
	// default for evidence without an expiry.
	maxEvidenceTTL = 10 * time.Minute
)

// evidenceKey identifies a piece of evidence. The same death with other counts
// is new evidence.
type evidenceKey struct {
	fingerprint, death uint64
	deaths             uint32
	quarantined        bool
}

// evidenceItem is a piece of evidence that this entry has.
type evidenceItem struct {
	evidence    *wirepb.Evidence
	expires     time.Time
	repeatsLeft int // digests that will still repeat it
}

// evidenceSet is the evidence that this entry has. Its size is bounded.
type evidenceSet struct {
	known        map[evidenceKey]*evidenceItem
	repeating    []*evidenceItem // oldest first, repeatsLeft > 0
	relayLimiter *rate.Limiter
}

func newEvidenceSet() evidenceSet {
	return evidenceSet{known: map[evidenceKey]*evidenceItem{}, relayLimiter: rate.NewLimiter(relayRate, relayBurst)}
}

// add records evidence and returns the part that is new.
func (r *evidenceSet) add(now time.Time, list []*wirepb.Evidence) []*wirepb.Evidence {
	var fresh []*wirepb.Evidence
	for _, e := range list {
		key := evidenceKey{e.GetFingerprint(), e.GetDeath(), e.GetDeaths(), e.GetQuarantined()}
		if old := r.known[key]; old != nil && now.Before(old.expires) {
			continue
		}
		if len(r.known) >= maxEvidence {
			r.expire(now)
		}
		if len(r.known) >= maxEvidence {
			// Returned to the caller but not relayed: a flood of evidence must
			// not exhaust the memory of the entries.
			fresh = append(fresh, e)
			continue
		}
		ttl := time.Duration(e.GetTtlMs()) * time.Millisecond
		if ttl <= 0 || ttl > maxEvidenceTTL {
			ttl = maxEvidenceTTL
		}
		item := &evidenceItem{evidence: e, expires: now.Add(ttl), repeatsLeft: evidenceRepeats}
		r.known[key] = item
		r.repeating = append(r.repeating, item)
		fresh = append(fresh, e)
	}
	return fresh
}

// expire removes evidence that has expired.
func (r *evidenceSet) expire(now time.Time) {
	for key, item := range r.known {
		if !now.Before(item.expires) {
			delete(r.known, key)
		}
	}
}

// next returns up to n pieces of evidence for a digest and counts them as
// repeated.
func (r *evidenceSet) next(now time.Time, n int) []*wirepb.Evidence {
	var list []*wirepb.Evidence
	var rest, repeated []*evidenceItem
	for _, item := range r.repeating {
		switch {
		case !now.Before(item.expires) || item.repeatsLeft == 0:
		case len(list) < n:
			list = append(list, item.evidence)
			item.repeatsLeft--
			repeated = append(repeated, item)
		default:
			rest = append(rest, item)
		}
	}
	r.repeating = append(rest, repeated...)
	return list
}

// AddEvidence adds evidence that originated at this entry and sends it to some
// peers.
func (o *Observer) AddEvidence(now time.Time, list []*wirepb.Evidence) Effects {
	var out Effects
	o.handleEvidence(now, list, &out)
	out.NewEvidence = nil // the caller already has it
	return out
}

// handleEvidence records evidence and relays the new part at once.
func (o *Observer) handleEvidence(now time.Time, list []*wirepb.Evidence, out *Effects) {
	fresh := o.evidence.add(now, list)
	if len(fresh) == 0 {
		return
	}
	out.NewEvidence = append(out.NewEvidence, fresh...)
	if !o.evidence.relayLimiter.AllowN(now, 1) {
		return
	}
	for _, p := range o.peers.pickLive(o.cfg.Rand, evidenceFanout) {
		for i := 0; i < len(fresh); i += maxEvidencePerDatagram {
			out.send(p.addr, evidenceMessage(fresh[i:min(i+maxEvidencePerDatagram, len(fresh))]))
		}
	}
}
