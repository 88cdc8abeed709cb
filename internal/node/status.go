package node

import (
	"time"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/internal/admin"
)

func serverStatus(r *backend.Row, revision uint64, now time.Time) admin.ServerStatus {
	s := admin.ServerStatus{
		Name:           r.Name,
		Zone:           r.Zone,
		Pool:           r.Pool,
		State:          r.State.String(),
		Direct:         r.Direct,
		Draining:       r.Load.Draining,
		ConfigRevision: revision,
		Running:        int64(r.Load.Running),
		Waiting:        int64(r.Load.Waiting),
		UsedTokens:     r.Load.Used,
		HeldTokens:     r.Load.Held,
		CapacityTokens: r.Load.Capacity,
	}
	if !r.LoadAt.IsZero() {
		s.LoadAgeMS = now.Sub(r.LoadAt).Milliseconds()
	}
	return s
}

// ownStatus is what the agent itself says of its backend server.
func ownStatus(r *backend.Row, revision uint64) admin.ServerStatus {
	s := serverStatus(r, revision, time.Now())
	s.Direct = true
	return s
}

// inForceAt returns the revision in force at a backend server. It is told of what
// concerns its pool only: where it has all of that, it is as far as this entry.
// Else --wait for the version of another pool's object would never end.
func (n *Entry) inForceAt(r *backend.Row, told map[string]uint64) uint64 {
	has, state := told[r.Name], n.catalog.State()
	if has > 0 && has >= state.PoolVersion(r.Pool) {
		return max(has, state.Revision())
	}
	return has
}
