package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/wire/wirepb"
)

func (n *Entry) serveAdmin() (err error) {
	n.admin, err = n.tasks.serveAdmin(n.cfg.AdminListen, admin.Config{
		Status:  n,
		Ready:   n,
		Drain:   n,
		SLO:     n,
		Metrics: n.cfg.Metrics,
	})
	return err
}

// isDraining reports whether a drain has begun.
func (n *Entry) isDraining() bool {
	select {
	case <-n.draining:
		return true
	default:
		return false
	}
}

// DrainAndWait makes the entry unready, refuses new requests and waits until
// those in progress have ended or ctx ends.
func (n *Entry) DrainAndWait(ctx context.Context) error {
	n.runner.With(func(o *membership.Observer) { o.SetDraining() })
	// Before the withdrawal: an entry that hears of its own deletion while it does
	// not drain announces itself again, and stays on record when it is gone.
	n.drainOnce.Do(func() { close(n.draining) })
	n.presence.Lock()
	err := withdraw(ctx, n.cfg.Store, n.self)
	n.presence.Unlock()
	if err != nil {
		n.tasks.log.WithError(err).Warn("presence not withdrawn")
	}
	noticed := time.NewTimer(drainNotice)
	defer noticed.Stop()
	if err := n.entry.Drain(ctx); err != nil {
		return errors.Trace(err)
	}
	select {
	case <-noticed.C:
	case <-ctx.Done():
	}
	return errors.Trace(n.claimer.Flush(ctx))
}

// Close ends the node and waits for its goroutines. What is still in progress
// is cut off: drain first.
func (n *Entry) Close() {
	n.tasks.stop()
	if n.listener != nil {
		_ = n.listener.Close()
	}
	n.scheduler.Close()
	_ = n.dialer.Close()
}

// Kill ends the node as the death of its process would: all of its connections
// break at once, callers' included.
func (n *Entry) Kill() {
	_ = n.http.Close() // first: a process that died tells nobody
	n.Close()
}

// Status implements admin.StatusProvider.
func (n *Entry) Status() admin.Status {
	waiting, running := n.scheduler.Depth()
	out := admin.Status{
		Name:           n.cfg.Name,
		Role:           "entry",
		Zone:           n.cfg.Zone,
		Ready:          n.Ready() == nil,
		Draining:       !n.entry.Ready(),
		ConfigRevision: n.catalog.Revision(),
		Queued:         int64(waiting),
		Running:        int64(running),
	}
	now := time.Now()
	var revisions map[string]uint64
	n.runner.With(func(o *membership.Observer) { revisions = o.ConfigVersions() })
	var rows []backend.Row
	for _, pool := range n.table.Pools() {
		rows = n.table.Rows(pool, rows[:0])
		for i := range rows {
			out.Servers = append(out.Servers, serverStatus(&rows[i], n.inForceAt(&rows[i], revisions), now))
		}
	}
	return out
}

// Ready implements admin.ReadyProvider.
func (n *Entry) Ready() error {
	if !n.entry.Ready() {
		return errors.New("draining")
	}
	if !n.catalog.Freshness().Ready {
		return errors.New("declared state not known yet")
	}
	if !n.claimsTried.Load() {
		return errors.New("claims not read yet")
	}
	if pool := n.unheard(); pool != "" && time.Since(n.started) < hearLimit {
		return errors.Errorf("no backend server of %s heard yet", pool)
	}
	return nil
}

// unheard returns a declared pool or service of which no backend server is
// known. An entry that were ready without would refuse what others can serve.
func (n *Entry) unheard() string {
	for _, set := range n.catalog.State().BackendServerSets() {
		if len(n.table.Rows(set.Pool, nil)) == 0 {
			return set.Pool
		}
	}
	return ""
}

// Drain implements admin.Drainer. It drains this entry, or asks the agent of a
// backend server that this entry knows to drain.
func (n *Entry) Drain(ctx context.Context, name string) (admin.DrainState, error) {
	if name == "" || name == n.cfg.Name {
		n.tasks.run("drain", n.DrainAndWait)
		return admin.DrainState{Name: n.cfg.Name, Draining: true, Running: n.entry.Status().Running}, nil
	}
	row, ok := n.table.Lookup(name)
	if !ok {
		return admin.DrainState{}, errors.Annotatef(admin.ErrUnknownName, "step drain, name %s", name)
	}
	status, err := n.dialer.Drain(ctx, row.RPCAddress, &wirepb.DrainRequest{Reason: "operator"})
	if err != nil {
		return admin.DrainState{}, errors.Annotatef(err, "step drain, peer %s", name)
	}
	load := status.GetLoad()
	return admin.DrainState{Name: name, Draining: load.GetDraining(), Running: int64(load.GetRunning())}, nil
}
