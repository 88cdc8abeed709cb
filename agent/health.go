package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cespare/xxhash/v2"
)

// maxPendingSuspects limits the list of runs that ended while the engine did
// not respond.
const maxPendingSuspects = 1024

// evidenceTimeout limits how long the end of an attempt waits until the home
// entries have received the engine's death. One call between VMs of a region
// takes a few milliseconds.
const evidenceTimeout = 250 * time.Millisecond

// engineState is the result of the last probe of the engine. Guarded by
// Agent.mu.
type engineState struct {
	up            bool
	deathRecorded bool   // the death has been recorded; reset when the engine responds again
	downReason    string // why the engine is not up
	bootID        string
}

// Suspect is a request that was running when an engine died.
type Suspect struct {
	RequestID   string
	Workspace   string
	Entry       string
	Fingerprint uint64
	Alone       bool // nothing else was running: the evidence is strong

	runID string // ID of the run at the engine
}

// Death is one death of the engine, with the requests that may have caused it.
type Death struct {
	ID       uint64 // differs between deaths, equal in all reports of one death
	Server   string
	At       time.Time
	Suspects []Suspect
}

func newSuspect(r *run) Suspect {
	return Suspect{
		RequestID:   r.start.RequestId,
		Workspace:   r.start.Workspace,
		Entry:       r.start.Entry,
		Fingerprint: r.start.Fingerprint,
		Alone:       r.start.Alone,
		runID:       r.id,
	}
}

// recordUnansweredRun records a run that ended while the engine did not
// respond. The engine's death may be confirmed only later, when the run has
// left the table: without this, the death would have no suspects.
func (a *Agent) recordUnansweredRun(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	unresponsive := !a.engine.up && !a.engine.deathRecorded && r.bootID == a.engine.bootID
	if unresponsive && r.began.Load() && len(a.pendingSuspects) < maxPendingSuspects {
		a.pendingSuspects = append(a.pendingSuspects, newSuspect(r))
	}
}

// probe requests the engine's health and load and handles changes.
func (a *Agent) probe(parent context.Context) {
	before := a.probesStarted.Load()
	a.probeMu.Lock()
	defer a.probeMu.Unlock()
	if a.probesStarted.Load() > before {
		// Another probe started and ended in the meantime. Without this check,
		// all runs of a hanging engine would probe it one after the other and
		// exceed their time limits.
		return
	}
	a.probesStarted.Add(1)
	ctx, cancel := context.WithTimeout(parent, a.cfg.Limits.ProbeTimeout)
	defer cancel()
	err := a.cfg.Engine.Health(ctx)
	var load EngineLoad
	if err == nil && !a.cfg.Descriptor.Service {
		load, err = a.cfg.Engine.Load(ctx)
	}
	if parent.Err() != nil {
		return
	}
	if err != nil {
		a.handleProbeFailure(err)
		return
	}
	a.handleProbeSuccess(load)
	a.refreshInventory(ctx, load.BootID)
}

// handleProbeFailure records that the engine did not respond. Only a refused
// connection proves a death: a paused engine does not respond either, and
// listing its runs as suspects would eventually quarantine harmless requests.
// If the engine did die, its changed boot ID shows that later.
func (a *Agent) handleProbeFailure(err error) {
	a.mu.Lock()
	wasUp := a.engine.up
	a.engine.up = false
	a.engine.downReason = err.Error()
	refused := errors.Is(err, ErrUnreachable)
	died := refused && !a.engine.deathRecorded && a.engine.bootID != ""
	var death Death
	if died {
		a.engine.deathRecorded = true
		death = a.recordDeathLocked()
	}
	a.mu.Unlock()
	if wasUp {
		a.cfg.Logger.WithError(err).WithField("server", a.cfg.Descriptor.Name).Warn("engine down")
	}
	if died {
		a.reportDeath(death)
	}
}

func (a *Agent) handleProbeSuccess(load EngineLoad) {
	a.mu.Lock()
	wasUp := a.engine.up
	restarted := a.engine.bootID != "" && a.engine.bootID != load.BootID
	died := restarted && !a.engine.deathRecorded
	var death Death
	if died {
		// The engine died and restarted between two probes.
		death = a.recordDeathLocked()
	}
	a.engine = engineState{up: true, bootID: load.BootID}
	a.pendingSuspects = nil
	a.mu.Unlock()
	if !wasUp {
		a.cfg.Logger.WithField("server", a.cfg.Descriptor.Name).Info("engine up")
	}
	if died {
		a.reportDeath(death)
	}
	if restarted {
		a.ledger.EngineReset()
		a.reaper.reset()
	}
	a.reconcile(load)
}

// reconcile frees runs and segments that the engine has and the ledger does
// not: leftovers of an agent that died, or of a lost cancel.
func (a *Agent) reconcile(load EngineLoad) {
	for _, orphan := range a.ledger.Reconcile(load.UsedTokens, load.Requests) {
		a.counters.orphans.Inc(1)
		if orphan.Handle != "" {
			a.reaper.freeSegment(orphan.Handle)
			continue
		}
		a.reaper.cancel(orphan.ID)
	}
}

// recordDeathLocked records the engine's death and collects the suspects. Call
// with mu held.
func (a *Agent) recordDeathLocked() Death {
	known := map[string]bool{}
	var suspects []Suspect
	addSuspect := func(s Suspect) {
		if !known[s.runID] {
			known[s.runID] = true
			suspects = append(suspects, s)
		}
	}
	for _, s := range a.pendingSuspects {
		addSuspect(s)
	}
	a.pendingSuspects = nil
	for _, r := range a.runs {
		if r.began.Load() && r.bootID == a.engine.bootID {
			addSuspect(newSuspect(r))
		}
	}
	a.lastDeath = Death{
		ID:       a.deathID(a.engine.bootID),
		Server:   a.cfg.Descriptor.Name,
		At:       a.cfg.Now(),
		Suspects: suspects,
	}
	return a.lastDeath
}

// deathID identifies the death that ended one boot of the engine. Entries that
// receive it in an End and entries that receive it as evidence must count one
// death.
func (a *Agent) deathID(bootID string) uint64 {
	return xxhash.Sum64String(a.cfg.Descriptor.Name + "\x00" + bootID)
}

func (a *Agent) reportDeath(death Death) {
	a.counters.deaths.Inc(1)
	a.cfg.Logger.WithField("server", death.Server).WithField("running", len(death.Suspects)).
		Warn("engine died")
	if a.cfg.OnEngineDeath == nil {
		return
	}
	announced := a.cfg.OnEngineDeath(death)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deathAnnounced = announced
}

// waitForEvidence waits until the home entries have received the last death.
// The caller of a prompt that kills engines sends it again through another
// entry as soon as it has its answer. An entry that has not received the death
// would place the prompt on one more engine: three engines would be lost
// instead of two.
func (a *Agent) waitForEvidence(ctx context.Context) {
	a.mu.Lock()
	announced := a.deathAnnounced
	a.mu.Unlock()
	if announced == nil {
		return
	}
	limit := time.NewTimer(evidenceTimeout)
	defer limit.Stop()
	select {
	case <-announced:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// LastDeath returns the engine's last death since the agent started. Its ID is
// zero if there was none.
func (a *Agent) LastDeath() Death {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastDeath
}
