package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cespare/xxhash/v2"
)

// maxBroken bounds the list of runs that broke under an engine which doesn't
// answer.
const maxBroken = 1024

// evidenceWait bounds how long an attempt's end waits for the homes to hear of
// the engine's death. One call between VMs of a region takes a few milliseconds.
const evidenceWait = 250 * time.Millisecond

// engineState is what the last look at the engine showed. Guarded by Agent.mu.
type engineState struct {
	up     bool
	dead   bool   // its death was recorded; ends when it answers again
	reason string // why it is not up
	boot   string
}

// Suspect is a request that was running when an engine died.
type Suspect struct {
	RequestID   string
	Workspace   string
	Entry       string
	Fingerprint uint64
	Alone       bool // nothing else ran: the evidence is strong

	id string // of the run
}

// Death is one death of the engine and what it may have died of.
type Death struct {
	ID       uint64 // differs between deaths, equal in all reports of one
	Server   string
	At       time.Time
	Suspects []Suspect
}

func suspectOf(r *run) Suspect {
	return Suspect{
		RequestID:   r.start.RequestId,
		Workspace:   r.start.Workspace,
		Entry:       r.start.Entry,
		Fingerprint: r.start.Fingerprint,
		Alone:       r.start.Alone,
		id:          r.id,
	}
}

// noteUnanswered remembers a run that ended while the engine didn't answer. Its
// death may be known only later, and the guilty one would have left the table by
// then: one would see deaths that accuse nobody.
func (a *Agent) noteUnanswered(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	silent := !a.engine.up && !a.engine.dead && r.boot == a.engine.boot
	if silent && r.began.Load() && len(a.broken) < maxBroken {
		a.broken = append(a.broken, suspectOf(r))
	}
}

// look asks the engine for its health and load, and acts on what changed.
func (a *Agent) look(parent context.Context) {
	before := a.looks.Load()
	a.probing.Lock()
	defer a.probing.Unlock()
	if a.looks.Load() > before {
		// Another look began and ended meanwhile. Without this, all runs of an
		// engine that hangs would look one after the other, past their limits.
		return
	}
	a.looks.Add(1)
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
		a.engineFailed(err)
		return
	}
	a.engineAnswered(load)
	a.list(ctx, load.BootID)
}

// engineFailed notes that the engine didn't answer. Only a refused connection
// shows a death: a paused engine is silent too, and accusing what it runs would
// in the end quarantine innocent requests. If it was a death after all, the
// changed boot shows it later.
func (a *Agent) engineFailed(err error) {
	a.mu.Lock()
	wasUp := a.engine.up
	a.engine.up = false
	a.engine.reason = err.Error()
	refused := errors.Is(err, ErrUnreachable)
	died := refused && !a.engine.dead && a.engine.boot != ""
	var death Death
	if died {
		a.engine.dead = true
		death = a.recordDeath()
	}
	a.mu.Unlock()
	if wasUp {
		a.cfg.Logger.WithError(err).WithField("server", a.cfg.Descriptor.Name).Warn("engine down")
	}
	if died {
		a.reportDeath(death)
	}
}

func (a *Agent) engineAnswered(load EngineLoad) {
	a.mu.Lock()
	wasUp := a.engine.up
	restarted := a.engine.boot != "" && a.engine.boot != load.BootID
	died := restarted && !a.engine.dead
	var death Death
	if died {
		// It died and came back between two looks.
		death = a.recordDeath()
	}
	a.engine = engineState{up: true, boot: load.BootID}
	a.broken = nil
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

// reconcile frees what the engine has and nobody here knows of: leftovers of an
// agent that died, or of a cancel that was lost.
func (a *Agent) reconcile(load EngineLoad) {
	for _, orphan := range a.ledger.Reconcile(load.UsedTokens, load.Requests) {
		a.counter.orphans.Inc(1)
		if orphan.Handle != "" {
			a.reaper.freeSegment(orphan.Handle)
			continue
		}
		a.reaper.cancel(orphan.ID)
	}
}

// recordDeath collects the suspects. Call with mu held.
func (a *Agent) recordDeath() Death {
	known := map[string]bool{}
	var suspects []Suspect
	accuse := func(s Suspect) {
		if !known[s.id] {
			known[s.id] = true
			suspects = append(suspects, s)
		}
	}
	for _, s := range a.broken {
		accuse(s)
	}
	a.broken = nil
	for _, r := range a.runs {
		if r.began.Load() && r.boot == a.engine.boot {
			accuse(suspectOf(r))
		}
	}
	a.lastDeath = Death{
		ID:       a.deathID(a.engine.boot),
		Server:   a.cfg.Descriptor.Name,
		At:       a.cfg.Now(),
		Suspects: suspects,
	}
	return a.lastDeath
}

// deathID names the death that ended one boot of the engine. The entries that
// hear of it from an End and those that hear of it as evidence must count it once.
func (a *Agent) deathID(boot string) uint64 {
	return xxhash.Sum64String(a.cfg.Descriptor.Name + "\x00" + boot)
}

func (a *Agent) reportDeath(death Death) {
	a.counter.deaths.Inc(1)
	a.cfg.Logger.WithField("server", death.Server).WithField("running", len(death.Suspects)).
		Warn("engine died")
	if a.cfg.OnEngineDeath == nil {
		return
	}
	heard := a.cfg.OnEngineDeath(death)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deathHeard = heard
}

// awaitEvidence waits until the homes have heard of the last death. The caller
// of a prompt that kills sends it again as soon as it has its answer, through
// another entry. If that entry had not heard of the death yet, it would give the
// prompt one more engine; one would see three engines lost instead of two.
func (a *Agent) awaitEvidence(ctx context.Context) {
	a.mu.Lock()
	heard := a.deathHeard
	a.mu.Unlock()
	if heard == nil {
		return
	}
	limit := time.NewTimer(evidenceWait)
	defer limit.Stop()
	select {
	case <-heard:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// LastDeath returns the engine's last death since the agent started; its ID is
// zero if there was none.
func (a *Agent) LastDeath() Death {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastDeath
}
