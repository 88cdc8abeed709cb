package routing

import (
	"testing"
	"time"
)

// herdAfter is how long after the return of a zone its effect is looked at.
const herdAfter = 5 * time.Second

// herdZone is a third of the servers, gone for the middle third of a run. A nil
// zone does nothing.
type herdZone struct {
	leaves, returns time.Time
	gone, back      bool
	keys            map[uint64]string
	sum             float64 // of the slowdowns within herdAfter of the return
	n               int
}

func newHerdZone(r *herdRun, length time.Duration) *herdZone {
	z := &herdZone{leaves: now.Add(length / 3), returns: now.Add(2 * length / 3), keys: map[uint64]string{}}
	for _, s := range r.servers[:len(r.servers)/3] {
		row, _ := r.entries[0].table.LookupKey(s.key)
		z.keys[s.key] = row.Name
	}
	return z
}

func (z *herdZone) away(s *herdServer) bool {
	return z != nil && z.gone && !z.back && z.keys[s.key] != ""
}

// step takes the zone's servers away, or brings them back with true samples.
func (z *herdZone) step(r *herdRun, t time.Time) {
	if z == nil {
		return
	}
	if !z.gone && t.After(z.leaves) {
		z.gone = true
		for _, e := range r.entries {
			for _, name := range z.keys {
				e.table.MarkDead(name)
			}
		}
	}
	if z.back || !t.After(z.returns) {
		return
	}
	z.back = true
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

func (z *herdZone) observe(t time.Time, slowdown float64) {
	if z == nil || !z.back || t.Sub(z.returns) > herdAfter {
		return
	}
	z.sum += slowdown
	z.n++
}

func (z *herdZone) mean() float64 {
	if z == nil {
		return 0
	}
	return z.sum / float64(max(1, z.n))
}

// liarShare returns the first server's requests over an equal share.
func (r *herdRun) liarShare() float64 {
	total := 0
	for _, s := range r.servers {
		total += s.taken
	}
	return float64(r.servers[0].taken*len(r.servers)) / float64(total)
}

// Symptom: one engine has by far the longest queue, and its load looks best.
// Sequence: its reports say that it has nothing to do, whatever it has.
// Cause: entries that believe a report until the next send it all they have.
// What an entry sent itself, and the little trust in old samples, bound it.
func TestLyingServerDrawsLittleMore(t *testing.T) {
	h := herd{entries: 3, servers: 21, load: 0.5, period: time.Second, length: time.Minute, seed: 1, liar: true}
	shares := map[string]float64{}
	for _, name := range []string{PolicyCost, PolicyLeastLoad} {
		h.policy = name
		res := h.run(t)
		shares[name] = res.liarShare
		t.Logf("%-11s %v, share of the liar %.2f", name, res, res.liarShare)
	}
	if shares[PolicyCost] > 1.5 {
		t.Errorf("the liar got %.2f of an equal share", shares[PolicyCost])
	}
	if shares[PolicyLeastLoad] <= shares[PolicyCost] {
		t.Errorf("least-load, which believes, gave %.2f: the model shows nothing", shares[PolicyLeastLoad])
	}
}

// Symptom: for seconds after an availability zone is back, requests are slower
// than while it was away.
// Sequence: a third of the servers goes away and comes back idle while the
// others have queues; forty entries hear of it at once.
// Cause: all entries send to the returned servers until the next reports.
func TestReturningZoneIsNotHerdedOn(t *testing.T) {
	h := herd{entries: 40, servers: 48, load: 0.5, period: 4 * time.Second, length: time.Minute, seed: 1, zone: true}
	results := map[string]herdResult{}
	for _, name := range []string{PolicyCost, PolicyLeastLoad} {
		h.policy = name
		results[name] = h.run(t)
		t.Logf("%-11s %v, after the return %.2f", name, results[name], results[name].afterReturn)
	}
	cost, least := results[PolicyCost], results[PolicyLeastLoad]
	if cost.afterReturn > 1.1*cost.meanSlowdown {
		t.Errorf("slowdown %.2f after the return, %.2f in the mean", cost.afterReturn, cost.meanSlowdown)
	}
	if least.afterReturn < 1.5*cost.afterReturn {
		t.Errorf("least-load, which herds, gave %.2f: the model shows nothing", least.afterReturn)
	}
}
