package replica

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// errOneKind: a question is for one kind, whose proof the answer bears.
const errOneKind = errors.ConstError("a question must name one kind that is followed here")

// Service answers peers out of a Replica. Of the entries' calls it serves PullConfig
// only.
type Service struct {
	wirepb.DRPCEntryUnimplementedServer
	replica *Replica
	clock   boottime.Clock
}

var _ wirepb.DRPCEntryServer = (*Service)(nil)

// NewService returns a Service of a Replica.
func NewService(r *Replica, clock boottime.Clock) *Service { return &Service{replica: r, clock: clock} }

// PullConfig implements wirepb.DRPCEntryServer: the whole state of a kind, if the peer
// has another, and how long ago it was current.
func (s *Service) PullConfig(_ context.Context, in *wirepb.PullRequest) (*wirepb.PullResponse, error) {
	arrived := s.clock()
	if len(in.GetKinds()) != 1 {
		return nil, errors.Annotatef(errOneKind, "step answer peer, %d kinds", len(in.GetKinds()))
	}
	kind := in.GetKinds()[0]
	c, ok := s.replica.read(kind, in.GetDigest(), arrived)
	if !ok {
		return nil, errors.Annotatef(errOneKind, "step answer peer, kind %s", kind)
	}
	out := &wirepb.PullResponse{
		Revision: c.listing.Revision,
		Complete: true,
		ProvedUs: time.Duration(c.proof).Microseconds(),
		Digest:   c.digest,
	}
	for _, o := range c.listing.Objects {
		out.Objects = append(out.Objects, &wirepb.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data})
	}
	return out, nil
}
