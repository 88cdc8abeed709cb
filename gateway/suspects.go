package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/briarturn/briarturn/placement"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/upstream"
)

const (
	// suspectTTL is how long a server of a broken attempt may turn out to have died in it. A
	// registration expires after three heartbeats of silence, and a killed server is back
	// within seconds.
	suspectTTL = 10 * time.Second
	// maxSuspects bounds the suspects that are kept; the oldest are dropped.
	maxSuspects = 1024
	// maxSuspectProbes bounds the servers that one CheckSuspects probes.
	maxSuspectProbes = 32
)

// suspect is a server under an attempt that broke or timed out, while it isn't known
// whether the server died.
type suspect struct {
	fingerprint uint64
	requestID   string
	server      placement.Candidate
	death       quarantine.Death // the death, if it was one
	expires     time.Time
}

// suspectState is what became of a suspect.
type suspectState uint8

const (
	suspectPending suspectState = iota // still registered
	suspectGone                        // no longer registered: died, or left without reporting it
	suspectDied
	suspectAlive
)

// suspectList holds suspects, oldest first. It is safe for concurrent use; mu guards list.
type suspectList struct {
	mu   sync.Mutex
	list []suspect
}

func (l *suspectList) add(s suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
	if excess := len(l.list) - maxSuspects; excess > 0 {
		l.list = slices.Delete(l.list, 0, excess)
	}
}

// remove removes the suspects that match.
func (l *suspectList) remove(match func(suspect) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, match)
}

// take removes and returns the suspects that match.
func (l *suspectList) take(match func(suspect) bool) []suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []suspect
	l.list = slices.DeleteFunc(l.list, func(s suspect) bool {
		if match(s) {
			out = append(out, s)
			return true
		}
		return false
	})
	return out
}

// snapshot returns a copy of the unexpired suspects and drops the others.
func (l *suspectList) snapshot(now time.Time) []suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(s suspect) bool { return !now.Before(s.expires) })
	return slices.Clone(l.list)
}

// suspect notes that the servers of an attempt may have died in it.
func (e *exchange) suspect(placed placement.Placement, ended time.Time) {
	for _, server := range slices.Concat([]placement.Candidate{placed.Server}, placed.Helpers) {
		e.gateway.suspects.add(suspect{
			fingerprint: e.fingerprint, requestID: e.info.ID, server: server,
			death: deathOf(server, e.placedAt, ended), expires: ended.Add(suspectTTL),
		})
	}
}

// stateOf returns what the directory shows of a suspect.
func (g *Gateway) stateOf(s suspect) suspectState {
	held, registered := g.cfg.Directory.Lookup(s.server.Instance)
	switch {
	case g.cfg.Directory.AddressTaken(s.server.Address, s.server.Instance):
		return suspectDied
	case !registered:
		return suspectGone
	case held.StartedUnixMs != s.server.StartedUnixMs:
		return suspectDied
	case held.Draining:
		return suspectAlive
	}
	return suspectPending
}

// recordSuspects records the deaths among the suspects of one fingerprint that the directory
// shows by now.
func (g *Gateway) recordSuspects(fingerprint uint64) {
	died := g.suspects.take(func(s suspect) bool {
		return s.fingerprint == fingerprint && g.stateOf(s) == suspectDied
	})
	g.recordDeaths(died)
}

// CheckSuspects records the deaths of servers under attempts that broke earlier. Call it
// about once a second. A server that is no longer registered is probed, because some leave
// without reporting that they are draining.
func (g *Gateway) CheckSuspects(ctx context.Context) {
	states := map[string]suspectState{} // by instance
	var gone []suspect
	for _, s := range g.suspects.snapshot(time.Now()) {
		if _, known := states[s.server.Instance]; known {
			continue
		}
		state := g.stateOf(s)
		states[s.server.Instance] = state
		if state == suspectGone && len(gone) < maxSuspectProbes {
			gone = append(gone, s)
		}
	}
	for i, found := range g.probeAll(ctx, gone) {
		state := suspectDied
		if found == upstream.ProbeAccepted {
			state = suspectAlive
		}
		states[gone[i].server.Instance] = state
	}
	if ctx.Err() != nil {
		return // the probes ended early
	}
	g.suspects.remove(func(s suspect) bool { return states[s.server.Instance] == suspectAlive })
	g.recordDeaths(g.suspects.take(func(s suspect) bool { return states[s.server.Instance] == suspectDied }))
}

// probeAll probes the servers of suspects concurrently and returns the results in order.
func (g *Gateway) probeAll(ctx context.Context, list []suspect) []upstream.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	out := make([]upstream.ProbeResult, len(list))
	var probes sync.WaitGroup
	for i, s := range list {
		probes.Go(func() { out[i] = g.cfg.Pool.Probe(ctx, s.server.Address) })
	}
	probes.Wait()
	return out
}

// recordDeaths records that suspects died, in the order in which their runs ended.
func (g *Gateway) recordDeaths(died []suspect) {
	slices.SortFunc(died, func(a, b suspect) int { return a.death.Ended.Compare(b.death.Ended) })
	for _, s := range died {
		g.recordDeath(s)
	}
}
