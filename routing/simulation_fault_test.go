package routing

import (
	"testing"
	"time"
)

// restoreWindow is how long after the end of a zone outage its effect is measured.
const restoreWindow = 5 * time.Second

// zoneOutage takes a third of the servers down for the middle third of a run. A nil
// zoneOutage does nothing.
type zoneOutage struct {
	startsAt, endsAt time.Time
	started, ended   bool
	keys             map[uint64]string
	sum              float64 // of the slowdowns within restoreWindow after endsAt
	n                int
}

func newZoneOutage(r *simRun, length time.Duration) *zoneOutage {
	z := &zoneOutage{startsAt: now.Add(length / 3), endsAt: now.Add(2 * length / 3), keys: map[uint64]string{}}
	for _, s := range r.servers[:len(r.servers)/3] {
		row, _ := r.entries[0].table.LookupKey(s.key)
		z.keys[s.key] = row.Name
	}
	return z
}

func (z *zoneOutage) isDown(s *simServer) bool {
	return z != nil && z.started && !z.ended && z.keys[s.key] != ""
}

// step takes the servers of the zone down, or restores them with accurate load samples.
func (z *zoneOutage) step(r *simRun, t time.Time) {
	if z == nil {
		return
	}
	if !z.started && t.After(z.startsAt) {
		z.started = true
		for _, e := range r.entries {
			for _, name := range z.keys {
				e.table.MarkDead(name)
			}
		}
	}
	if z.ended || !t.After(z.endsAt) {
		return
	}
	z.ended = true
	for _, s := range r.servers {
		if z.keys[s.key] == "" {
			continue
		}
		load := s.sample(t)
		for _, e := range r.entries {
			e.table.ObserveLoad(s.key, 1, load, 0, t)
		}
	}
}

func (z *zoneOutage) observe(t time.Time, slowdown float64) {
	if z == nil || !z.ended || t.Sub(z.endsAt) > restoreWindow {
		return
	}
	z.sum += slowdown
	z.n++
}

func (z *zoneOutage) mean() float64 {
	if z == nil {
		return 0
	}
	return z.sum / float64(max(1, z.n))
}

// firstServerShare returns the number of requests to the first server divided by an equal
// share.
func (r *simRun) firstServerShare() float64 {
	total := 0
	for _, s := range r.servers {
		total += s.accepted
	}
	return float64(r.servers[0].accepted*len(r.servers)) / float64(total)
}

// A server with a long queue always reports that it is idle. Entries that rely on a report
// until the next one would send it all their requests. The entries' own record of what they
// sent, and the low weight of old samples, limit its share.
func TestServerReportingIdleGetsLimitedLoad(t *testing.T) {
	h := simulation{entries: 3, servers: 21, load: 0.5, period: time.Second, length: time.Minute, seed: 1, firstReportsIdle: true}
	shares := map[string]float64{}
	for _, name := range []string{PolicyCost, PolicyLeastLoad} {
		h.policy = name
		res := h.run(t)
		shares[name] = res.firstServerShare
		t.Logf("%-11s %v, share of the first server %.2f", name, res, res.firstServerShare)
	}
	if shares[PolicyCost] > 1.5 {
		t.Errorf("the server that reports idle got %.2f of an equal share", shares[PolicyCost])
	}
	if shares[PolicyLeastLoad] <= shares[PolicyCost] {
		t.Errorf("least-load, which relies on reports, gave %.2f: the simulation shows no effect", shares[PolicyLeastLoad])
	}
}

// A third of the servers fails and comes back idle while the others have queues, and forty
// entries learn of it at once. If all entries send to the restored servers until the next
// load reports, requests are slower for seconds than during the outage.
func TestRestoredZoneIsNotOverloaded(t *testing.T) {
	h := simulation{entries: 40, servers: 48, load: 0.5, period: 4 * time.Second, length: time.Minute, seed: 1, zone: true}
	results := map[string]simResult{}
	for _, name := range []string{PolicyCost, PolicyLeastLoad} {
		h.policy = name
		results[name] = h.run(t)
		t.Logf("%-11s %v, after the restore %.2f", name, results[name], results[name].afterRestore)
	}
	cost, least := results[PolicyCost], results[PolicyLeastLoad]
	if cost.afterRestore > 1.1*cost.meanSlowdown {
		t.Errorf("slowdown %.2f after the restore, %.2f on average", cost.afterRestore, cost.meanSlowdown)
	}
	if least.afterRestore < 1.5*cost.afterRestore {
		t.Errorf("least-load, which overloads the zone, gave %.2f: the simulation shows no effect", least.afterRestore)
	}
}
