package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/internal/table"
	"github.com/briarturn/briarturn/objectapi"
)

// pollInterval is how often a waiting command asks again.
const pollInterval = 200 * time.Millisecond

// Roles that processes give in their status.
const (
	roleEntry = "entry"
	roleAgent = "agent"
	// roleGateway has servers that read no declared state.
	roleGateway = "gateway"
)

// processStatus is the answer of one admin address.
type processStatus struct {
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	admin.Status
	err error
}

// fleetStatus is the answer of all.
type fleetStatus struct {
	Wanted    uint64          `json:"wanted_revision,omitempty"`
	InForce   int             `json:"in_force"` // processes and servers at Wanted or later
	Known     int             `json:"known"`    // processes and servers asked or told of
	Revisions []revisionShare `json:"revisions"`
	// Waiting is the sum of what waits at all processes.
	Waiting   []admin.WaitingRequests `json:"waiting_requests,omitempty"`
	Processes []processStatus         `json:"processes"`
}

func (t *tool) status(ctx context.Context) error {
	clients, err := t.admins()
	if err != nil {
		return errors.Trace(err)
	}
	want := t.args.Status.Wait
	fleet := askAll(ctx, clients, want)
	for want > 0 && !fleet.settled(t.args.Status.Servers) && sleep.For(ctx, pollInterval) {
		fleet = askAll(ctx, clients, want)
	}
	if err := t.print(fleet, fleet.writeTable); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(fleet.verdict(t.args.Status.Servers))
}

// verdict is the command's error, if any, once the answer was printed.
func (f *fleetStatus) verdict(servers int) error {
	for _, p := range f.Processes {
		if p.err != nil {
			return errors.Trace(p.err)
		}
	}
	if f.Wanted > 0 && f.InForce < f.Known {
		return errors.Annotatef(context.DeadlineExceeded, "revision %d in force at %d of %d", f.Wanted, f.InForce, f.Known)
	}
	if f.Wanted > 0 && !f.settled(servers) {
		return errors.Annotatef(context.DeadlineExceeded, "not every entry is ready and knows %d backend servers", servers)
	}
	return nil
}

// settled reports whether the wanted revision is in force everywhere, and, if a
// number of servers is given, whether each process is ready and each entry knows
// so many.
func (f *fleetStatus) settled(servers int) bool {
	if f.InForce < f.Known {
		return false
	}
	for _, p := range f.Processes {
		if servers > 0 && (!p.Ready || p.Role == roleEntry && len(p.Servers) < servers) {
			return false
		}
	}
	return true
}

// askAll asks all processes at a time.
func askAll(ctx context.Context, clients []*admin.Client, want uint64) *fleetStatus {
	f := &fleetStatus{Wanted: want, Processes: make([]processStatus, len(clients))}
	var asked sync.WaitGroup
	for i, c := range clients {
		asked.Go(func() {
			p := &f.Processes[i]
			p.Address = c.Address()
			p.Status, p.err = c.Status(ctx)
			if p.err != nil {
				p.Error = p.err.Error()
			}
		})
	}
	asked.Wait()
	f.count()
	f.Waiting = f.sumWaiting()
	return f
}

// revisionShare tells how many of all known processes have a revision in force.
// Revision 0 stands for those that have none or could not be asked.
type revisionShare struct {
	Revision  uint64  `json:"revision"`
	Processes int     `json:"processes"`
	Share     float64 `json:"share"`
}

// count tells how many have which revision in force.
func (f *fleetStatus) count() {
	shares, servers := make(map[uint64]int), f.freshest()
	for _, p := range f.Processes {
		switch {
		case p.err != nil:
			shares[0]++
		case p.Role == roleAgent && servers[p.Name].Direct:
			// Its home knows whether what it lacks concerns it.
		default:
			shares[p.ConfigRevision]++
			if p.Role == roleAgent {
				delete(servers, p.Name)
			}
		}
	}
	for _, s := range servers {
		shares[s.ConfigRevision]++
	}
	for _, n := range shares {
		f.Known += n
	}
	for _, revision := range slices.Sorted(maps.Keys(shares)) {
		n := shares[revision]
		if revision >= f.Wanted && revision > 0 {
			f.InForce += n
		}
		f.Revisions = append(f.Revisions, revisionShare{revision, n, float64(n) / float64(f.Known)})
	}
}

// freshest returns what is known of each backend server once: as the process
// told it that hears from the server itself and did so last. What others tell,
// or told before it changed its home entries, is old.
func (f *fleetStatus) freshest() map[string]admin.ServerStatus {
	out := make(map[string]admin.ServerStatus)
	for _, p := range f.Processes {
		for _, s := range p.Servers {
			if p.Role == roleAgent || p.Role == roleGateway {
				continue
			}
			if !s.Direct {
				s.ConfigRevision = 0 // it doesn't tell others
			}
			old, ok := out[s.Name]
			if !ok || s.Direct && (!old.Direct || s.LoadAgeMS < old.LoadAgeMS) {
				out[s.Name] = s
			}
		}
	}
	return out
}

func (f *fleetStatus) writeTable(w io.Writer) error {
	var processes, servers [][]string
	for _, p := range f.Processes {
		if p.err != nil {
			processes = append(processes, []string{p.Address, "-", "-", "unreachable", "-", "-", "-"})
			continue
		}
		processes = append(processes, []string{p.Name, p.Role, p.Zone, readiness(&p.Status),
			objectapi.FormatRevision(p.ConfigRevision), fmt.Sprint(p.Queued), fmt.Sprint(p.Running)})
		for i := range p.Servers {
			servers = append(servers, serverCells(p.Name, &p.Servers[i]))
		}
	}
	if err := table.Write(w, []string{"process", "role", "zone", "state", "revision", "queued", "running"}, processes); err != nil {
		return errors.Trace(err)
	}
	if len(servers) > 0 {
		header := []string{"server", "told by", "zone", "pool", "state", "revision", "running", "waiting", "used", "held", "capacity", "load age ms"}
		if err := table.Write(w, header, servers); err != nil {
			return errors.Trace(err)
		}
	}
	if err := f.writeWaiting(w); err != nil {
		return errors.Trace(err)
	}
	for _, p := range f.Processes {
		if len(p.EvacuatedZones) > 0 {
			fmt.Fprintf(w, "evacuated zones, by %s %d ms ago: %s\n", p.Name, p.ZonesAgeMS, strings.Join(p.EvacuatedZones, ", "))
		}
	}
	f.writeSlowServers(w)
	for _, r := range f.Revisions {
		fmt.Fprintf(w, "revision %s: %d processes, %.1f%%\n", objectapi.FormatRevision(r.Revision), r.Processes, 100*r.Share)
	}
	if f.Wanted > 0 {
		fmt.Fprintf(w, "revision %d in force at %d of %d\n", f.Wanted, f.InForce, f.Known)
	}
	return nil
}

// writeSlowServers writes a line for each server that a gateway takes for slow.
func (f *fleetStatus) writeSlowServers(w io.Writer) {
	for _, p := range f.Processes {
		for _, s := range p.Servers {
			if s.Slowdown == 0 {
				continue
			}
			fmt.Fprintf(w, "slow for %s: %s, %.1f times its declared times\n", p.Name, s.Name, s.Slowdown)
		}
	}
}

func readiness(s *admin.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

func serverCells(teller string, s *admin.ServerStatus) []string {
	state := s.State
	if s.Draining {
		state = "draining"
	}
	if s.Lost != nil {
		state = fmt.Sprintf("lost (%s %d ms ago, by %s)", s.Lost.Evidence, s.Lost.AgeMS, strings.Join(s.Lost.Entries, " "))
	}
	line := []string{s.Name, teller, s.Zone, s.Pool, state, objectapi.FormatRevision(s.ConfigRevision)}
	for _, n := range []int64{s.Running, s.Waiting, s.UsedTokens, s.HeldTokens, s.CapacityTokens, s.LoadAgeMS} {
		line = append(line, fmt.Sprint(n))
	}
	return line
}
