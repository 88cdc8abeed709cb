package replica

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// maxInlineBytes is the maximum size of the objects, in bytes, that are sent to a peer that
// didn't ask for the whole state. Requests have a short timeout, so that a dead peer costs
// little time. A configuration of 1,400 routes has 350 kB, which takes 140 ms to one peer on
// a link of 20 Mbit/s, and more to a dozen peers at once. Under the short timeout the
// transfer would be aborted and requested again 300 ms later.
const maxInlineBytes = 64 << 10

// Service serves the states of Replicas to peers. Of the calls between entries it implements
// only PullStates.
type Service struct {
	wirepb.DRPCEntryUnimplementedServer
	replicas []*Replica
	clock    boottime.Clock
}

var _ wirepb.DRPCEntryServer = (*Service)(nil)

// NewService returns a Service that serves Replicas of different kinds.
func NewService(clock boottime.Clock, replicas ...*Replica) *Service {
	return &Service{replicas: replicas, clock: clock}
}

// PullStates implements wirepb.DRPCEntryServer. For each requested kind it returns when the
// state was last confirmed and, if the peer has other objects, the changes since the peer's
// revision or all objects. Kinds without a state yet are left out.
func (s *Service) PullStates(_ context.Context, in *wirepb.StatesRequest) (*wirepb.States, error) {
	arrived := s.clock()
	out := &wirepb.States{}
	for _, held := range in.GetHeld() {
		for _, r := range s.replicas {
			if c, ok := r.copyState(held.GetKind(), held.GetDigest(), held.GetRevision(), arrived); ok {
				out.States = append(out.States, encodeState(held, c))
			}
		}
	}
	return out, nil
}

// encodeState converts a state to its wire form. Objects larger than maxInlineBytes are left
// out unless the peer asked for the whole state.
func encodeState(held *wirepb.StateHeld, c stateCopy) *wirepb.State {
	out := &wirepb.State{
		Kind:      held.GetKind(),
		Revision:  c.listing.Revision,
		Digest:    c.digest,
		ProvedUs:  time.Duration(c.confirmed).Microseconds(),
		Recovered: c.recovered,
	}
	size := 0
	for _, o := range c.listing.Objects {
		size += len(o.Data)
	}
	if size > maxInlineBytes && !held.GetWhole() {
		out.LeftOut = true
		return out
	}
	out.Changes = c.incremental
	for _, o := range c.listing.Objects {
		out.Objects = append(out.Objects, &wirepb.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data, Deleted: o.Deleted})
	}
	return out
}
