package wire

import (
	"context"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// ClaimIssued asks an entry to claim a key that the entry issued.
func (d *Dialer) ClaimIssued(ctx context.Context, addr string, in *wirepb.ClaimCall) (*wirepb.ClaimAnswer, error) {
	out, err := d.entryClient(ctx, addr).ClaimIssued(ctx, in)
	return out, annotateCall(err, "claim issued key", addr)
}

// SettleIssued reports the outcome of a claim to the entry that issued its key.
func (d *Dialer) SettleIssued(ctx context.Context, addr string, in *wirepb.ClaimCall) (*wirepb.ClaimAnswer, error) {
	out, err := d.entryClient(ctx, addr).SettleIssued(ctx, in)
	return out, annotateCall(err, "settle issued key", addr)
}

// ForwardClaims asks an entry to apply changes to a claim shard.
func (d *Dialer) ForwardClaims(ctx context.Context, addr string, in *wirepb.ClaimBatch) (*wirepb.ClaimResults, error) {
	out, err := d.entryClient(ctx, addr).ForwardClaims(ctx, in)
	return out, annotateCall(err, "forward claims", addr)
}
