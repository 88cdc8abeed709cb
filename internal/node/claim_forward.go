package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/claim"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// CandidateWriters implements claim.PeerClient: the entries of this region that take new work.
func (p claimPeers) CandidateWriters() []string {
	var names []string
	for _, peer := range p.peers() {
		if peer.GetRegion() == p.node.self.GetRegion() && !peer.GetDraining() {
			names = append(names, peer.GetName())
		}
	}
	return names
}

// Forward implements claim.PeerClient.
func (p claimPeers) Forward(ctx context.Context, entry string, b claim.Batch) ([]claim.ChangeResult, error) {
	addr, err := p.address(entry)
	if err != nil {
		return nil, err
	}
	out, err := p.node.dialer.ForwardClaims(ctx, addr, wireClaims(b))
	if err != nil {
		return nil, errors.Annotatef(err, "step forward claims, peer %s", entry)
	}
	answers := make([]claim.ChangeResult, 0, len(out.GetResults()))
	for _, r := range out.GetResults() {
		answers = append(answers, claim.ChangeResult{
			Kind: claim.ChangeResultKind(r.GetKind()),
			Prior: claim.Prior{
				State:  claim.State(r.GetState()),
				Record: claim.Record{Status: int(r.GetStatus()), Response: r.GetAnswer(), Truncated: r.GetTruncated()},
			},
		})
	}
	return answers, nil
}

// ForwardClaims brings another entry's changes into a claim shard.
func (s *entryService) ForwardClaims(ctx context.Context, in *wirepb.ClaimBatch) (*wirepb.ClaimResults, error) {
	answers, err := s.node.claimer.ServeForward(ctx, claimsIn(in))
	if err != nil {
		return nil, errors.Trace(err)
	}
	out := &wirepb.ClaimResults{}
	for _, a := range answers {
		record := a.Prior.Record
		out.Results = append(out.Results, &wirepb.ClaimResult{
			Kind:      uint32(a.Kind),
			State:     uint32(a.Prior.State),
			Status:    uint32(record.Status),
			Answer:    record.Response,
			Truncated: record.Truncated,
		})
	}
	return out, nil
}

func wireClaims(b claim.Batch) *wirepb.ClaimBatch {
	out := &wirepb.ClaimBatch{
		Shard:       b.Shard,
		Shards:      uint32(b.Shards),
		UntilUnixMs: uint64(b.ExpiresAt.UnixMilli()),
	}
	for _, c := range b.Changes {
		out.Changes = append(out.Changes, &wirepb.ClaimChange{
			Kind:      uint32(c.Kind),
			Hash:      c.Hash,
			Mark:      c.Mark,
			Outcome:   uint32(c.Outcome.Kind),
			Status:    uint32(c.Outcome.Record.Status),
			Answer:    c.Outcome.Record.Response,
			Truncated: c.Outcome.Record.Truncated,
			Issued:    c.Issued,
			Withdraw:  c.WithdrawMark,
		})
	}
	return out
}

func claimsIn(in *wirepb.ClaimBatch) claim.Batch {
	b := claim.Batch{
		Shard:     in.GetShard(),
		Shards:    int(in.GetShards()),
		ExpiresAt: time.UnixMilli(int64(in.GetUntilUnixMs())),
	}
	for _, c := range in.GetChanges() {
		b.Changes = append(b.Changes, claim.Change{
			Kind: claim.ChangeKind(c.GetKind()),
			Hash: c.GetHash(),
			Mark: c.GetMark(),
			Outcome: claim.Outcome{
				Kind:   claim.OutcomeKind(c.GetOutcome()),
				Record: claim.Record{Status: int(c.GetStatus()), Response: c.GetAnswer(), Truncated: c.GetTruncated()},
			},
			Issued:       c.GetIssued(),
			WithdrawMark: c.GetWithdraw(),
		})
	}
	return b
}

func (p claimPeers) peers() []*wirepb.Peer {
	var list []*wirepb.Peer
	p.node.runner.With(func(o *membership.Observer) { list = o.Peers() })
	return list
}
