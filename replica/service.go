package replica

import (
	"context"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// smallState bounds the objects, in bytes, that are sent to a peer that didn't ask for
// the whole. A question has a short time limit, so that a peer that is gone costs
// little; a configuration of 1,400 routes has 350 kB, which takes 140 ms on a link of
// 20 Mbit/s to one peer and more to a dozen at once. Sent in that time limit it would
// be cut off, and asked for again 300 ms later.
const smallState = 64 << 10

// Service answers peers out of a Replica. Of the entries' calls it serves PullStates
// only.
type Service struct {
	wirepb.DRPCEntryUnimplementedServer
	replica *Replica
	clock   boottime.Clock
}

var _ wirepb.DRPCEntryServer = (*Service)(nil)

// NewService returns a Service of a Replica.
func NewService(r *Replica, clock boottime.Clock) *Service { return &Service{replica: r, clock: clock} }

// PullStates implements wirepb.DRPCEntryServer: of each kind how long ago it was
// current and, if the peer has other objects, what changed since, or all of them. Kinds
// that aren't known yet are left out.
func (s *Service) PullStates(_ context.Context, in *wirepb.StatesRequest) (*wirepb.States, error) {
	arrived := s.clock()
	out := &wirepb.States{}
	for _, held := range in.GetHeld() {
		if c, ok := s.replica.read(held.GetKind(), held.GetDigest(), held.GetRevision(), arrived); ok {
			out.States = append(out.States, stateMessage(held, c))
		}
	}
	return out, nil
}

func stateMessage(held *wirepb.StateHeld, c copied) *wirepb.State {
	out := &wirepb.State{
		Kind:     held.GetKind(),
		Revision: c.listing.Revision,
		Digest:   c.digest,
		ProvedUs: time.Duration(c.proof).Microseconds(),
	}
	size := 0
	for _, o := range c.listing.Objects {
		size += len(o.Data)
	}
	if size > smallState && !held.GetWhole() {
		out.LeftOut = true
		return out
	}
	out.Changes = c.changes
	for _, o := range c.listing.Objects {
		out.Objects = append(out.Objects, &wirepb.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data, Deleted: o.Deleted})
	}
	return out
}
