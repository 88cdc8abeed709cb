package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// findEvery is the mean time between an agent's looks at whether it is cut off.
// An agent that is not makes no call of the store.
const findEvery = 3 * time.Second

// findTimeout bounds one list of the entries in the store.
const findTimeout = 5 * time.Second

// findEntries takes the list of entries from the store while no entry that the
// agent knows answers.
//
// The seeds of the settings are the entries of the day of the agent's start. If
// all of them have been replaced by the time that the agent loses touch, nobody
// it knows could tell it of the new ones: it would serve nothing and stay on its
// old configuration until an operator restarted it.
func (n *Agent) findEntries(ctx context.Context) error {
	for {
		select {
		case <-time.After(findEvery/2 + rand.N(findEvery)):
		case <-ctx.Done():
			return nil
		}
		isolated := false
		n.runner.With(func(r *membership.Reporter) { isolated = r.Isolated() })
		if !isolated {
			continue
		}
		peers, err := announced(ctx, n.cfg.Store)
		if err != nil {
			n.tasks.log.WithError(err).Debug("entries not read from the store")
			continue
		}
		n.runner.With(func(r *membership.Reporter) { r.SetPeers("", peers) })
	}
}

// announced lists the entries that announced themselves. Dead ones may be among
// them.
func announced(ctx context.Context, store objectapi.Store) ([]*wirepb.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	listing, err := store.List(ctx, KindEntry, "")
	if err != nil {
		return nil, err
	}
	var peers []*wirepb.Peer
	for _, o := range listing.Objects {
		if p := peerOf(o); p != nil {
			peers = append(peers, p)
		}
	}
	return peers, nil
}
