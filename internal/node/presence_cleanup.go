package node

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Cleaning up after entries that died without withdrawing their presence. Some
// hundred VMs fail each day; without it their objects would stay for good, and
// agents and entries that start would be told of ever more dead addresses.
const (
	// presenceExpiry is the silence after which a presence is deleted. It is far
	// above a split of regions or a zone's cut of some minutes.
	presenceExpiry = 15 * time.Minute
	cleanupPeriod  = time.Minute
	cleanupTimeout = 5 * time.Second
)

// cleanPresences deletes the presence of entries that nobody hears any more. Of
// the live entries one does it for each, the first by rendezvous hashing: the
// store's writes must not grow with the entries. A presence that was deleted
// though its entry lives is written again by that entry (storeSink).
func (n *Entry) cleanPresences(now time.Time) {
	var lost, live []*wirepb.Peer
	n.runner.With(func(o *membership.Observer) {
		lost = o.SilentPeers(now, presenceExpiry)
		live = o.Peers()
	})
	names := make([]string, 0, len(live))
	for _, p := range live {
		names = append(names, p.GetName())
	}
	for _, p := range lost {
		first := membership.Rank(p.GetName(), names, 1)
		if len(first) == 0 || first[0] != n.cfg.Name {
			continue
		}
		n.withdrawLost(p)
	}
}

func (n *Entry) withdrawLost(p *wirepb.Peer) {
	ctx, cancel := context.WithTimeout(n.tasks.ctx, cleanupTimeout)
	defer cancel()
	if err := withdraw(ctx, n.cfg.Store, p); err != nil {
		return // it is gone, or the next round tries again
	}
	n.tasks.log.WithField("peer", p.GetName()).Info("presence of a lost entry deleted")
}

// announceAgain writes this entry's presence anew after somebody deleted it,
// unless a drain did.
func (n *Entry) announceAgain() {
	if !n.entry.Ready() || n.isDraining() {
		return
	}
	n.tasks.run("announce again", n.announce)
}

// announce writes this entry's presence. It is marked first: a deletion between
// the write and its answer would else be taken for a presence not yet written.
// Writing it twice does no harm.
func (n *Entry) announce(ctx context.Context) error {
	n.announced.Store(true)
	return announce(ctx, n.cfg.Store, n.self, n.whilePresent)
}

// whilePresent runs a write of the presence, unless a drain has begun. A write
// that is on its way when the entry withdraws would otherwise bring the presence
// back, of an entry that is gone.
func (n *Entry) whilePresent(write func() error) error {
	n.presence.Lock()
	defer n.presence.Unlock()
	if n.isDraining() {
		return nil
	}
	return write()
}
