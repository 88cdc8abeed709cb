package node

import (
	"context"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/claim"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// claimPeers carries claims of issued keys to the entries that issued them.
type claimPeers struct{ node *Entry }

// ClaimIssued implements claim.PeerClient.
func (p claimPeers) ClaimIssued(ctx context.Context, issuer claim.Issuer, key claim.Key, mark string) (claim.Grant, error) {
	addr, err := p.address(issuer.Entry)
	if err != nil {
		return claim.Grant{}, err
	}
	answer, err := p.node.dialer.ClaimIssued(ctx, addr, claimCall(issuer, key, mark))
	if err != nil {
		return claim.Grant{}, errors.Annotatef(err, "step claim at issuer, peer %s", issuer.Entry)
	}
	if answer.GetBadKey() {
		return claim.Grant{}, errors.Annotatef(claim.ErrBadKey, "step claim at issuer, peer %s", issuer.Entry)
	}
	return claim.Grant{Fresh: answer.GetFresh(), Prior: claim.Prior{
		State:  claim.State(answer.GetState()),
		Record: claim.Record{Status: int(answer.GetStatus()), Response: answer.GetAnswer(), Truncated: answer.GetTruncated()},
	}}, nil
}

// SettleIssued implements claim.PeerClient.
func (p claimPeers) SettleIssued(ctx context.Context, issuer claim.Issuer, key claim.Key, mark string, o claim.Outcome) error {
	addr, err := p.address(issuer.Entry)
	if err != nil {
		return err
	}
	call := claimCall(issuer, key, mark)
	call.Outcome = uint32(o.Kind)
	call.Status = uint32(o.Record.Status)
	call.Answer = o.Record.Response
	call.Truncated = o.Record.Truncated
	_, err = p.node.dialer.SettleIssued(ctx, addr, call)
	return errors.Annotatef(err, "step settle at issuer, peer %s", issuer.Entry)
}

func claimCall(issuer claim.Issuer, key claim.Key, mark string) *wirepb.ClaimCall {
	return &wirepb.ClaimCall{
		Entry:       issuer.Entry,
		Incarnation: issuer.Incarnation,
		Workspace:   key.Workspace,
		Key:         key.IdempotencyKey,
		Mark:        mark,
	}
}

func (p claimPeers) address(entry string) (string, error) {
	for _, peer := range p.peers() {
		if peer.GetName() == entry && peer.GetRpcAddress() != "" {
			return peer.GetRpcAddress(), nil
		}
	}
	return "", errors.NotFoundf("entry %s", entry)
}

// ClaimIssued answers an entry that got a call under a key issued here.
func (s *entryService) ClaimIssued(_ context.Context, in *wirepb.ClaimCall) (*wirepb.ClaimAnswer, error) {
	grant, err := s.node.claimer.ServeClaim(keyOf(in), in.GetMark())
	if errors.Is(err, claim.ErrBadKey) {
		return &wirepb.ClaimAnswer{BadKey: true}, nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	record := grant.Prior.Record
	return &wirepb.ClaimAnswer{
		Fresh:     grant.Fresh,
		State:     uint32(grant.Prior.State),
		Status:    uint32(record.Status),
		Answer:    record.Response,
		Truncated: record.Truncated,
	}, nil
}

// SettleIssued takes the end of a call that was claimed here for another entry.
func (s *entryService) SettleIssued(_ context.Context, in *wirepb.ClaimCall) (*wirepb.ClaimAnswer, error) {
	outcome := claim.Outcome{
		Kind:   claim.OutcomeKind(in.GetOutcome()),
		Record: claim.Record{Status: int(in.GetStatus()), Response: in.GetAnswer(), Truncated: in.GetTruncated()},
	}
	return &wirepb.ClaimAnswer{}, errors.Trace(s.node.claimer.ServeSettle(keyOf(in), in.GetMark(), outcome))
}

func keyOf(in *wirepb.ClaimCall) claim.Key {
	return claim.Key{Workspace: in.GetWorkspace(), IdempotencyKey: in.GetKey()}
}
