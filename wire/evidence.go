package wire

import (
	"time"

	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// EvidenceToProto encodes a record of a quarantine.
func EvidenceToProto(r quarantine.Record) *wirepb.Evidence {
	return &wirepb.Evidence{
		Fingerprint: r.Fingerprint,
		Deaths:      uint32(r.DeathCount),
		Quarantined: r.Quarantined,
		TtlMs:       uint64(max(r.TTL, 0).Milliseconds()),
		Death:       r.DeathID,
	}
}

// MergeEvidence enters evidence in a book and returns what was news.
func MergeEvidence(book *quarantine.Tracker, list []*wirepb.Evidence, now time.Time) []*wirepb.Evidence {
	var news []*wirepb.Evidence
	for _, e := range list {
		r := quarantine.Record{
			Fingerprint: e.GetFingerprint(),
			DeathID:     e.GetDeath(),
			DeathCount:  int(e.GetDeaths()),
			Quarantined: e.GetQuarantined(),
			TTL:         time.Duration(e.GetTtlMs()) * time.Millisecond,
		}
		if book.Merge(r, now) {
			news = append(news, e)
		}
	}
	return news
}
