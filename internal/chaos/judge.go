package chaos

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"

	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	standinservice "github.com/briarturn/briarturn/internal/standin/service"

	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/load"
	"github.com/briarturn/briarturn/internal/node"
	"github.com/briarturn/briarturn/request"
)

const (
	// settleLimit is the time within which a healthy fleet must have freed
	// everything and agree on its configuration.
	settleLimit = 20 * time.Second
	settleEvery = 50 * time.Millisecond
	// lastRequests are sent at the end, each of which must succeed.
	lastRequests = 12
	// maxAttempts is how many attempts of one request are looked for.
	maxAttempts = 128
)

// heal ends every fault and starts every process that is down.
func (b *bench) heal() error {
	b.net.lose.Store(0)
	b.net.double.Store(0)
	b.net.delayMS.Store(0)
	b.fleet.Store.SetFaults(standinobjectapi.Faults{})
	for _, one := range b.fleet.Backends {
		if one.Engine != nil {
			one.Engine.Recover()
		} else {
			one.Service.SetFaults(standinservice.Faults{})
			one.Service.Recover()
		}
		if b.fleet.LiveAgent(one) == nil {
			if err := b.fleet.StartAgent(one); err != nil {
				return err
			}
		}
	}
	return nil
}

// within waits until ok holds and reports whether it did in time.
func within(ctx context.Context, limit time.Duration, ok func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !ok() {
		if ctx.Err() != nil {
			return false
		}
		pause(ctx, settleEvery)
	}
	return true
}

// settle checks that the fleet comes to rest by itself.
func (b *bench) settle(ctx context.Context) {
	for _, one := range b.fleet.Backends {
		if one.Engine == nil {
			continue
		}
		freed := within(ctx, b.settleLimit, func() bool {
			c := one.Engine.Counters()
			return c.UsedMemory == 0 && c.Exported == 0
		})
		c := one.Engine.Counters()
		b.checks.check(checkMemory, freed, "%s: used %d, segments %d", one.Name, c.UsedMemory, c.Exported)
	}
	for _, one := range b.fleet.Backends {
		a := b.fleet.LiveAgent(one)
		empty := within(ctx, b.settleLimit, func() bool {
			s := a.Status().Servers[0]
			return s.Running == 0 && s.UsedTokens == 0 && s.HeldTokens == 0
		})
		b.checks.check(checkLedger, empty, "%s: %+v", one.Name, a.Status().Servers[0])
	}
	b.converge(ctx)
	b.serveAgain(ctx)
}

// converge writes every object that concerns backend servers once more, and one
// that concerns none, and checks that every process has what concerns it: an
// agent pulls only what its pool has news of.
func (b *bench) converge(ctx context.Context) {
	b.race.verify(ctx, b.checks)
	ofPool, err := b.touchSets(ctx)
	if err != nil {
		b.checks.check(checkConverges, false, "write: %v", err)
		return
	}
	b.race.edit(ctx)
	edited, _, err := b.race.read(ctx)
	if err != nil {
		b.checks.check(checkConverges, false, "read: %v", err)
		return
	}
	for name, p := range b.processes() {
		wanted := edited.Version
		if a, ok := p.(*node.Agent); ok {
			wanted = ofPool[a.Descriptor().Pool]
		}
		ok := within(ctx, b.settleLimit, func() bool { return p.ConfigRevision() >= wanted })
		b.checks.check(checkConverges, ok, "%s is at %d, not at %d%s", name, p.ConfigRevision(), wanted, homesOf(p))
	}
}

// touchSets writes each BackendServerSet again as it is and returns the new
// version by pool.
func (b *bench) touchSets(ctx context.Context) (map[string]uint64, error) {
	versions := map[string]uint64{}
	listing, err := b.fleet.Store.List(ctx, declared.KindBackendServerSet, "")
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, o := range listing.Objects {
		spec, err := declared.Decode(o.Kind, o.Data)
		if err != nil {
			return nil, errors.Annotatef(err, "object %s", o.Name)
		}
		written, err := b.fleet.Store.Update(ctx, o.Kind, o.Name, o.Data, o.Version)
		if err != nil {
			return nil, errors.Annotatef(err, "object %s", o.Name)
		}
		versions[spec.(*declared.BackendServerSet).Pool] = written.Version
	}
	return versions, nil
}

// homesOf tells whom an agent reports to.
func homesOf(p process) string {
	if a, ok := p.(*node.Agent); ok {
		return fmt.Sprintf(", homes %v", a.Homes())
	}
	return ""
}

// serveAgain checks that every entry serves, once it has seen that its servers
// are back.
func (b *bench) serveAgain(ctx context.Context) {
	within(ctx, b.settleLimit, func() bool {
		for _, n := range b.fleet.LiveEntries() {
			for _, s := range n.Status().Servers {
				if s.State != "live" {
					return false
				}
			}
		}
		return true
	})
	for i := range lastRequests {
		target := b.targets[i%len(b.targets)]
		r := b.probes.say(target, fmt.Sprintf("last %d of run %d", i, b.options.Seed))
		b.checks.check(checkServesAgain, r.ok(), "%s: status %d, %s %s", target, r.status, r.code, r.reason)
	}
}

// judge holds what callers were told against what ran.
func (b *bench) judge(report *load.Report) {
	c := report.All().Counts
	wrong := c.Cut + c.Doubled + c.Reordered + c.Crossed
	b.checks.checkMany(checkOwnAnswer, c.Sent-c.Unsent, wrong, fmt.Sprintf("load: %+v", c))
	b.checks.checkMany(checkEnds, c.Sent-c.Unsent, c.Overdue, fmt.Sprintf("load: %d overdue", c.Overdue))
	runs := b.keyRuns()
	for key, n := range runs {
		b.checks.check(checkRunsOnce, n == 1, "key %s ran %d times", key, n)
	}
	for _, call := range b.probes.calls {
		b.judgeCall(call, runs[call.key])
	}
	for _, p := range b.probes.prompts {
		b.judgePrompt(p)
	}
}

func (b *bench) keyRuns() map[string]int {
	runs := map[string]int{}
	for _, one := range b.fleet.Backends {
		if one.Service == nil {
			continue
		}
		for key, n := range one.Service.Runs() {
			runs[key] += n
		}
	}
	return runs
}

func (b *bench) judgeCall(c *keyedCall, runs int) {
	allNotRun := true
	for i := range c.replies {
		r := &c.replies[i]
		b.checks.check(checkEnds, !r.overdue, "key %s", c.key)
		allNotRun = allNotRun && r.code == request.NotRun
		if r.ok() {
			b.checks.check(checkDoneRan, runs == 1, "key %s was confirmed and ran %d times", c.key, runs)
			b.checks.check(checkOwnAnswer, c.own(r), "key %s got %s", c.key, r.body)
		}
	}
	if allNotRun && len(c.replies) > 0 {
		b.checks.check(checkNotRun, runs == 0, "key %s was not_run each time and ran %d times", c.key, runs)
	}
}

func (b *bench) judgePrompt(p *prompt) {
	r := &p.reply
	b.checks.check(checkEnds, !r.overdue, "prompt %q", p.text)
	if r.ok() {
		err := p.verify()
		b.checks.check(checkOwnAnswer, err == nil, "prompt %q: %v", p.text, err)
	}
	if r.code == request.NotRun && r.id != "" {
		n := b.engineRuns(r.id)
		b.checks.check(checkNotRun, n == 0, "request %s was not_run (%s) and ran %d times", r.id, r.reason, n)
	}
}

// engineRuns counts the runs of a request over all engines and attempts.
func (b *bench) engineRuns(id string) int {
	n := 0
	for _, one := range b.fleet.Backends {
		if one.Engine == nil {
			continue
		}
		for attempt := range maxAttempts {
			n += one.Engine.Runs(id + "." + strconv.Itoa(attempt))
		}
	}
	return n
}
