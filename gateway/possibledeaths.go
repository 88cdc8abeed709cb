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
	// possibleDeathTTL is how long a server of a broken attempt may turn out to have died in it. A
	// registration expires after three heartbeats of silence, and a killed server is back
	// within seconds.
	possibleDeathTTL = 10 * time.Second
	// abandonedDeathTTL is the same for an attempt whose caller left. A server that lives
	// longer than its registration lapses after a crash had not died before.
	abandonedDeathTTL = 5 * time.Second
	// maxPossibleDeaths bounds the possible deaths that are kept; the oldest are dropped.
	maxPossibleDeaths = 1024
	// maxServerProbes bounds the servers that one CheckPossibleDeaths probes.
	maxServerProbes = 32
)

// possibleDeath is the death of a server under an attempt that broke or timed out, while it
// isn't known whether the server died.
type possibleDeath struct {
	fingerprint uint64
	parts       []quarantine.Part // suspect parts of the prompt
	partsOnly   bool              // only the parts are suspect, not the request
	silent      bool              // the server may have died at any time of the run
	requestID   string
	server      placement.Candidate
	death       quarantine.Death // the death, if it was one
	expires     time.Time
}

// serverState is what became of the server of a possible death.
type serverState uint8

const (
	serverPending serverState = iota // still registered
	serverGone                       // no longer registered: died, or left without reporting it
	serverDied
	serverAlive
)

// possibleDeathList holds possible deaths, oldest first. It is safe for concurrent use; mu guards list.
type possibleDeathList struct {
	mu   sync.Mutex
	list []possibleDeath
}

func (l *possibleDeathList) add(s possibleDeath) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
	if excess := len(l.list) - maxPossibleDeaths; excess > 0 {
		l.list = slices.Delete(l.list, 0, excess)
	}
}

// remove removes the possible deaths that match.
func (l *possibleDeathList) remove(match func(possibleDeath) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, match)
}

// take removes and returns the possible deaths that match.
func (l *possibleDeathList) take(match func(possibleDeath) bool) []possibleDeath {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []possibleDeath
	l.list = slices.DeleteFunc(l.list, func(s possibleDeath) bool {
		if match(s) {
			out = append(out, s)
			return true
		}
		return false
	})
	return out
}

// snapshot returns a copy of the unexpired possible deaths and drops the others.
func (l *possibleDeathList) snapshot(now time.Time) []possibleDeath {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(s possibleDeath) bool { return !now.Before(s.expires) })
	return slices.Clone(l.list)
}

// clearParts takes parts off the possible deaths up to a time.
func (l *possibleDeathList) clearParts(parts []quarantine.Part, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.list {
		s := &l.list[i]
		if s.death.Ended.After(at) || !sharePart(s.parts, parts) {
			continue
		}
		// The list is shared with the exchange, so it isn't changed in place.
		s.parts = slices.DeleteFunc(slices.Clone(s.parts), func(p quarantine.Part) bool { return slices.Contains(parts, p) })
	}
}

// sharePart reports whether two lists have a part in common.
func sharePart(a, b []quarantine.Part) bool {
	return slices.ContainsFunc(a, func(p quarantine.Part) bool { return slices.Contains(b, p) })
}

// addPossibleDeaths notes that the servers of an attempt may have died in it.
func (e *exchange) addPossibleDeaths(attempt *placedAttempt, ended time.Time, silent bool) {
	for _, server := range slices.Concat([]placement.Candidate{attempt.Server}, attempt.Helpers) {
		s := e.possibleDeathOf(attempt, server, ended)
		s.silent = silent
		e.gateway.possibleDeaths.add(s)
	}
}

// addPossiblePartDeath notes that the server of an attempt may have died before it began to respond,
// and the caller left.
func (e *exchange) addPossiblePartDeath(attempt *placedAttempt, ended time.Time) {
	s := e.possibleDeathOf(attempt, attempt.Server, ended)
	if len(s.parts) == 0 {
		return
	}
	s.partsOnly, s.silent, s.expires = true, true, ended.Add(abandonedDeathTTL)
	e.gateway.possibleDeaths.add(s)
}

// stateOf returns what the directory shows of the server of a possible death.
func (g *Gateway) stateOf(s possibleDeath) serverState {
	held, registered := g.cfg.Directory.Lookup(s.server.Instance)
	switch {
	case g.cfg.Directory.AddressTaken(s.server.Address, s.server.Instance):
		return serverDied
	case !registered:
		return serverGone
	case held.StartedUnixMs != s.server.StartedUnixMs:
		return serverDied
	case held.Draining:
		return serverAlive
	}
	return serverPending
}

// recordPossibleDeaths records the possible deaths that match and that the directory shows by now.
func (g *Gateway) recordPossibleDeaths(match func(possibleDeath) bool) {
	died := g.possibleDeaths.take(func(s possibleDeath) bool { return match(s) && g.stateOf(s) == serverDied })
	g.recordDeaths(died)
}

// CheckPossibleDeaths records the deaths of servers under attempts that broke earlier. Call it
// about once a second. A server that is no longer registered is probed, because some leave
// without reporting that they are draining.
func (g *Gateway) CheckPossibleDeaths(ctx context.Context) {
	states := map[string]serverState{} // by instance
	var gone []possibleDeath
	for _, s := range g.possibleDeaths.snapshot(time.Now()) {
		if _, known := states[s.server.Instance]; known {
			continue
		}
		state := g.stateOf(s)
		states[s.server.Instance] = state
		if state == serverGone && len(gone) < maxServerProbes {
			gone = append(gone, s)
		}
	}
	for i, found := range g.probeAll(ctx, gone) {
		state := serverDied
		if found == upstream.ProbeAccepted {
			state = serverAlive
		}
		states[gone[i].server.Instance] = state
	}
	if ctx.Err() != nil {
		return // the probes ended early
	}
	g.possibleDeaths.remove(func(s possibleDeath) bool { return states[s.server.Instance] == serverAlive })
	g.recordDeaths(g.possibleDeaths.take(func(s possibleDeath) bool { return states[s.server.Instance] == serverDied }))
}

// probeAll probes the servers of possible deaths concurrently and returns the results in order.
func (g *Gateway) probeAll(ctx context.Context, list []possibleDeath) []upstream.ProbeResult {
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

// recordDeaths records deaths in the order in which their runs ended.
func (g *Gateway) recordDeaths(died []possibleDeath) {
	slices.SortFunc(died, func(a, b possibleDeath) int { return a.death.Ended.Compare(b.death.Ended) })
	for _, s := range died {
		g.recordDeath(s)
	}
}
