package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/agent"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// shareTimeout bounds one call that passes on crash evidence.
const shareTimeout = 2 * time.Second

// sharedBook is an entry's book that spreads what is news. The entry that sees a
// death hears of it before the agent's own report; if it kept that to itself,
// the report would be no news any more and nobody would pass it on.
type sharedBook struct {
	*quarantine.Tracker
	runner *membership.EntryRunner
}

// RecordDeath implements entry.Quarantine.
func (b sharedBook) RecordDeath(fingerprint, death uint64, now time.Time) (quarantine.Record, bool) {
	record, news := b.Tracker.RecordDeath(fingerprint, death, now)
	if news {
		b.runner.AddEvidence([]*wirepb.Evidence{wire.EvidenceToProto(record)})
	}
	return record, news
}

func allEvidence(book *quarantine.Tracker, now time.Time) []*wirepb.Evidence {
	var out []*wirepb.Evidence
	for _, r := range book.Records(now) {
		out = append(out, wire.EvidenceToProto(r))
	}
	return out
}

func (n *Agent) quarantined(fingerprint uint64) bool {
	return n.book.Verdict(fingerprint, time.Now()) == quarantine.Refuse
}

// engineDied enters what was running in the book and tells the homes, which
// spread it over their region. It must not block, so the calls go their own way;
// the channel is closed when all of them have ended.
func (n *Agent) engineDied(death agent.Death) <-chan struct{} {
	now := time.Now()
	var list []*wirepb.Evidence
	for _, s := range death.Suspects {
		record, news := n.book.RecordDeath(s.Fingerprint, death.ID, now)
		if news && record.Quarantined {
			n.tasks.log.WithFields(logrus.Fields{"workspace": s.Workspace, "request": s.RequestID, "entry": s.Entry}).
				Warn("prompt quarantined: engines died under it")
		}
		list = append(list, wire.EvidenceToProto(record))
	}
	if len(list) == 0 {
		return nil
	}
	var calls sync.WaitGroup
	for _, addr := range n.homeAddresses() {
		calls.Add(1)
		n.tasks.run("share evidence", func(ctx context.Context) error {
			defer calls.Done()
			ctx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			known, err := n.dialer.ShareEvidence(ctx, addr, &wirepb.EvidenceList{Evidence: list})
			wire.MergeEvidence(n.book, known.GetEvidence(), time.Now())
			return err
		})
	}
	heard := make(chan struct{})
	n.tasks.run("await evidence", func(context.Context) error {
		calls.Wait()
		close(heard)
		return nil
	})
	return heard
}

// sharePartDeath sends a death under parts of a prompt to the other entries of the region, and takes
// over the deaths that they know of. It must not block, so the calls run as tasks.
func (n *Entry) sharePartDeath(d quarantine.PartDeath) {
	list := &wirepb.EvidenceList{PartDeaths: wire.PartDeathsToProto([]quarantine.PartDeath{d}, time.Now())}
	var peers []*wirepb.Peer
	n.runner.With(func(o *membership.Observer) { peers = o.Peers() })
	for _, p := range peers {
		if p.GetIncarnation() == n.self.GetIncarnation() {
			continue
		}
		n.tasks.run("share death under parts", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			known, err := n.dialer.ShareEvidence(ctx, p.GetRpcAddress(), list)
			wire.MergePartDeaths(n.parts, known.GetPartDeaths(), time.Now())
			return err
		})
	}
}

func (n *Agent) homeAddresses() []string {
	var out []string
	n.runner.With(func(r *membership.Reporter) { out = r.HomeAddresses() })
	return out
}
