package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/rollout"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Asking other entries for a pool's servers.
const (
	// listenFirst is how long an entry has to have run to know the servers that
	// report to it; the longest report period of a healthy home is less.
	listenFirst = 10 * time.Second
	// askPerEntry bounds what asking costs: one call in so much time, on average.
	askPerEntry = 500 * time.Millisecond
	minAskRound = 5 * time.Second
	askTimeout  = 2 * time.Second
	// askAtOnce is how many entries are asked at the same time.
	askAtOnce = 16
	// settleRounds is how many rounds a change of a server may take to show.
	settleRounds = 2
	// maxSilentPercent is how many of the others may be silent for plans to be
	// made. Who knows nothing of a server isn't held up by it: of a tenth of
	// the entries, two at random are both homes of one server in a hundred.
	maxSilentPercent = 10
)

// askRound is the time after which another entry is asked again.
func askRound(entries int) time.Duration {
	return max(minAskRound, time.Duration(entries)*askPerEntry)
}

func settleTime(entries int) time.Duration { return settleRounds * askRound(entries) }

// poolServers collects all engines of a pool: those that report to this entry,
// and where there are too many entries for all to be home of every agent, those
// that report to the others. The rows that digests bring won't do: they are a
// choice, and come late.
type poolServers struct {
	self    string
	pool    string
	started time.Time
	log     logrus.FieldLogger
	peers   func() []*wirepb.Peer // all entries, with this one
	rows    func() []backend.Row  // of the pool, in this entry's table
	status  func(ctx context.Context, addr, pool string) (*wirepb.EntryStatus, error)

	mu   sync.Mutex // guards told
	told map[string]toldServers
}

// toldServers is what one entry told, and when.
type toldServers struct {
	at       time.Time
	names    []string // of all servers, engines that drain among them
	replicas []rollout.Replica
}

func newPoolServers(n *Entry, pool string, started time.Time) *poolServers {
	return &poolServers{
		self:    n.cfg.Name,
		pool:    pool,
		started: started,
		log:     n.tasks.log,
		peers: func() (list []*wirepb.Peer) {
			n.runner.With(func(o *membership.Observer) { list = o.Peers() })
			return list
		},
		rows:   func() []backend.Row { return n.table.Rows(pool, nil) },
		status: n.dialer.EntryStatus,
		told:   map[string]toldServers{},
	}
}

// others returns the other entries, unless every agent reports to this one too.
func (s *poolServers) others(peers []*wirepb.Peer) []*wirepb.Peer {
	if membership.HomeCount(len(peers)) >= len(peers) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(peers), func(p *wirepb.Peer) bool { return p.GetName() == s.self })
}

// ask asks the other entries until ctx ends: each once a round, and those that
// didn't answer again after minAskRound.
func (s *poolServers) ask(ctx context.Context) {
	for ctx.Err() == nil {
		var calls errgroup.Group
		calls.SetLimit(askAtOnce)
		for _, p := range s.due() {
			calls.Go(func() error {
				if err := s.askOne(ctx, p); err != nil {
					s.log.WithError(err).Debug("servers not told")
				}
				return nil // the others are asked all the same
			})
		}
		_ = calls.Wait()
		sleep.For(ctx, minAskRound)
	}
}

// due returns the entries that told nothing within a round.
func (s *poolServers) due() []*wirepb.Peer {
	others := s.others(s.peers())
	limit := time.Now().Add(-askRound(len(others)))
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(others, func(p *wirepb.Peer) bool {
		return s.told[p.GetName()].at.After(limit)
	})
}

func (s *poolServers) askOne(ctx context.Context, p *wirepb.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	status, err := s.status(ctx, p.GetRpcAddress(), s.pool)
	if err != nil {
		return errors.Annotatef(err, "step ask for servers, peer %s", p.GetName())
	}
	t := toldServers{at: time.Now()}
	for _, m := range status.GetServers() {
		row := backend.Row{Descriptor: wire.DescriptorFromProto(m.GetDescriptor_()), Load: wire.LoadFromProto(m.GetLoad())}
		if m.GetState() != backend.StateLive.String() {
			row.State = backend.StateSuspect
		}
		t.names = append(t.names, row.Name)
		if r, ok := rollout.ReplicaFromRow(&row); ok {
			t.replicas = append(t.replicas, r)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[p.GetName()] = t
	return nil
}

// replicas returns all engines known. complete is false until this entry has
// listened long enough, and while entries that are silent may hide engines.
func (s *poolServers) replicas() (list []rollout.Replica, complete bool) {
	peers := s.peers()
	others := s.others(peers)
	rows := s.rows()
	seen := map[string]bool{}
	for i := range rows {
		if !rows[i].Direct && len(others) > 0 {
			continue
		}
		seen[rows[i].Name] = true
		if r, ok := rollout.ReplicaFromRow(&rows[i]); ok {
			list = append(list, r)
		}
	}
	fresh, silent := s.answers(others)
	for _, t := range fresh {
		for _, r := range t.replicas {
			if !seen[r.Name] {
				seen[r.Name] = true
				list = append(list, r)
			}
		}
		for _, name := range t.names {
			seen[name] = true
		}
	}
	complete = time.Since(s.started) >= listenFirst &&
		len(silent)*100 <= max(len(others)*maxSilentPercent, 100) &&
		!hidden(rows, seen, silent, peers)
	return list, complete
}

// answers returns what the others told of late, the latest first: of two homes
// the one that was asked later knows more. Silent are those that told nothing.
func (s *poolServers) answers(others []*wirepb.Peer) (fresh []toldServers, silent map[string]bool) {
	limit := time.Now().Add(-settleTime(len(others)))
	silent = map[string]bool{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range others {
		if t := s.told[p.GetName()]; t.at.After(limit) {
			fresh = append(fresh, t)
		} else {
			silent[p.GetName()] = true
		}
	}
	slices.SortStableFunc(fresh, func(a, b toldServers) int { return b.at.Compare(a.at) })
	return fresh, silent
}

// hidden tells whether a server of the table that nobody told of may report to
// entries that are silent. A plan without it would load its models elsewhere.
// One silent entry hides nobody, since each server has two homes.
func hidden(rows []backend.Row, seen, silent map[string]bool, peers []*wirepb.Peer) bool {
	if len(silent) <= 1 {
		return false
	}
	for i := range rows {
		row := &rows[i]
		if seen[row.Name] || row.State == backend.StateLeaving || row.State == backend.StateDead {
			continue
		}
		if slices.ContainsFunc(homesOf(row, peers), func(home string) bool { return silent[home] }) {
			return true
		}
	}
	return false
}

// homesOf returns the entries that a server reports to while all are well:
// entries of its region, or any if that has none.
func homesOf(row *backend.Row, peers []*wirepb.Peer) []string {
	var near, all []string
	for _, p := range peers {
		all = append(all, p.GetName())
		if p.GetRegion() == row.Region {
			near = append(near, p.GetName())
		}
	}
	if len(near) == 0 {
		near = all
	}
	return membership.Rank(row.Name, near, membership.HomeCount(len(near)))
}

// serversOf tells another entry of the servers of a pool that report here.
func (n *Entry) serversOf(pool string) []*wirepb.ServerStatus {
	if pool == "" {
		return nil
	}
	var revisions map[string]uint64
	n.runner.With(func(o *membership.Observer) { revisions = o.ConfigVersions() })
	now := time.Now()
	var out []*wirepb.ServerStatus
	for _, row := range n.table.Rows(pool, nil) {
		if !row.Direct || row.State == backend.StateLeaving || row.State == backend.StateDead {
			continue
		}
		out = append(out, &wirepb.ServerStatus{
			Descriptor_:   wire.DescriptorToProto(row.Descriptor, row.Incarnation),
			Load:          wire.LoadToProto(row.Load),
			AgeMs:         uint64(now.Sub(row.LoadAt).Milliseconds()),
			State:         row.State.String(),
			ConfigVersion: revisions[row.Name],
		})
	}
	return out
}
