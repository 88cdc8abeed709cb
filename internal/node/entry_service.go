package node

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// entryService answers agents and other entries over drpc. What it doesn't serve is
// refused as unimplemented.
type entryService struct {
	wirepb.DRPCEntryUnimplementedServer
	node *Entry
}

var _ wirepb.DRPCEntryServer = (*entryService)(nil)

// PullConfig gives the declared objects that the puller lacks.
func (s *entryService) PullConfig(_ context.Context, in *wirepb.PullRequest) (*wirepb.PullResponse, error) {
	scope := declared.Scope{Kinds: in.GetKinds(), Pools: in.GetPools()}
	return wireBatch(s.node.catalog.Since(in.GetSince(), scope)), nil
}

// ListPeers gives the entries that this one knows, itself among them.
func (s *entryService) ListPeers(context.Context, *wirepb.PeersRequest) (*wirepb.Peers, error) {
	out := &wirepb.Peers{}
	s.node.runner.With(func(o *membership.Observer) { out.Entries = o.Peers() })
	return out, nil
}

// ListServers gives a page of the backend servers whose home this entry is.
func (s *entryService) ListServers(_ context.Context, in *wirepb.ServersRequest) (*wirepb.Servers, error) {
	var out *wirepb.Servers
	s.node.runner.With(func(o *membership.Observer) { out = o.Servers(time.Now(), in.GetAfter(), in.GetLimit()) })
	return out, nil
}

// Status gives a snapshot for operators.
func (s *entryService) Status(_ context.Context, in *wirepb.StatusRequest) (*wirepb.EntryStatus, error) {
	n := s.node
	waiting, running := n.scheduler.Depth()
	return &wirepb.EntryStatus{
		Self:           n.self,
		ConfigRevision: n.catalog.Revision(),
		Queued:         uint64(waiting),
		Running:        uint64(running),
		Servers:        n.serversOf(in.GetPool()),
		Quarantine:     allEvidence(n.book, time.Now()),
	}, nil
}

// Drain drains this entry. It returns at once; the drain goes on.
func (s *entryService) Drain(ctx context.Context, _ *wirepb.DrainRequest) (*wirepb.EntryStatus, error) {
	if _, err := s.node.Drain(ctx, ""); err != nil {
		return nil, err
	}
	return s.Status(ctx, &wirepb.StatusRequest{})
}

// ShareEvidence takes crash evidence, spreads what is news, and answers with all
// that is known here, so that an agent that starts learns it with its own first
// report.
func (s *entryService) ShareEvidence(_ context.Context, in *wirepb.EvidenceList) (*wirepb.EvidenceList, error) {
	now := time.Now()
	if news := wire.MergeEvidence(s.node.book, in.GetEvidence(), now); len(news) > 0 {
		s.node.runner.AddEvidence(news)
	}
	wire.MergePartDeaths(s.node.parts, in.GetPartDeaths(), now)
	return &wirepb.EvidenceList{
		Evidence:   allEvidence(s.node.book, now),
		PartDeaths: wire.PartDeathsToProto(s.node.parts.Deaths(now), now),
	}, nil
}
