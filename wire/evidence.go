package wire

import (
	"time"

	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// EvidenceToProto converts a quarantine record to its message. Negative times
// become 0.
func EvidenceToProto(r quarantine.Record) *wirepb.Evidence {
	return &wirepb.Evidence{
		Fingerprint: r.Fingerprint,
		Deaths:      uint32(r.DeathCount),
		Quarantined: r.Quarantined,
		TtlMs:       uint64(max(r.TTL, 0).Milliseconds()),
		Death:       r.DeathID,
		RanMs:       uint64(max(r.Ran, 0).Milliseconds()),
		AgeMs:       uint64(max(r.Age, 0).Milliseconds()),
	}
}

// MergeEvidence merges evidence into a tracker and returns the items that are
// new to it, which should be passed on.
func MergeEvidence(tracker *quarantine.Tracker, list []*wirepb.Evidence, now time.Time) []*wirepb.Evidence {
	var merged []*wirepb.Evidence
	for _, e := range list {
		r := quarantine.Record{
			Fingerprint: e.GetFingerprint(),
			DeathID:     e.GetDeath(),
			Ran:         time.Duration(e.GetRanMs()) * time.Millisecond,
			Age:         time.Duration(e.GetAgeMs()) * time.Millisecond,
			DeathCount:  int(e.GetDeaths()),
			Quarantined: e.GetQuarantined(),
			TTL:         time.Duration(e.GetTtlMs()) * time.Millisecond,
		}
		if tracker.Merge(r, now) {
			merged = append(merged, e)
		}
	}
	return merged
}
