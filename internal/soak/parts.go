package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/platform/standin"
)

// A part of prompts crashes each server that begins to respond to a request with it. Requests with it
// come beside sound ones that share its caller and the other parts.
const (
	// crashEvery is the time between two such series, crashLasts how long one lasts.
	crashEvery = 14 * time.Second
	crashLasts = 8 * time.Second
	// crashCallers is one caller in so many: it sends the part during a series.
	crashCallers = 6
	// crashDown is how long a server that crashed is away.
	crashDown = time.Second
	// crashesSeen is the number of crashes after which the part has to be refused, crashNotice
	// the time after the last of them from which no more than crashSlack requests with it may
	// reach servers.
	crashesSeen = 5
	crashNotice = 3 * time.Second
	crashSlack  = 3
	// firstParts and otherParts are the numbers of sound parts that requests share.
	firstParts, otherParts = 4, 16
)

// crashRefusal is the reason of a refusal for a part that crashes servers.
const crashRefusal = "prompt_part_kills_servers"

// traffic is what a run has callers do, beside their usual requests. The zero value is nothing.
type traffic struct {
	crashPart atomic.Int64 // number of the part that callers send; 0: none
	only      atomic.Int64 // number of the entry to which new connections go, from 1; 0: any
}

// crash is the end of a server under a request with a part.
type crash struct {
	instance, part string
	at             time.Time
}

// crashSteps are the series of requests with a part that crashes servers. They are drawn apart, so that
// a seed's other steps are the same with and without them.
func crashSteps(seed uint64, lasts time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 5))
	var out []Step
	at := calmStart + time.Duration(r.Int64N(int64(2*time.Second)))
	for n := 1; at < lasts; n++ {
		out = append(out, Step{At: at, For: min(crashLasts, lasts-at), Fault: PartCrash, Target: n})
		at += crashEvery
	}
	return out
}

// crashes has callers send requests with a part for a while.
func (b *breaker) crashes(part int, d time.Duration) error {
	b.fleet.traffic.crashPart.Store(int64(part))
	time.Sleep(d)
	b.fleet.traffic.crashPart.Store(0)
	return nil
}

// crashed notes the end of a server that a part brought about, and has it started again.
func (f *fleet) crashed(s *serverProcess, part string) {
	s.expectEnd()
	s.reached.close() // the address refuses connections from now on
	f.record.crash(crash{instance: s.name, part: part, at: time.Now()})
	f.ended <- s
}

// reviveServers starts servers that have crashed, until ctx ends, and waits for the last of them.
func (b *breaker) reviveServers(ctx context.Context) {
	var reviving sync.WaitGroup
	defer reviving.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-b.fleet.ended:
			reviving.Go(func() {
				time.Sleep(crashDown)
				if err := b.revive(s); err != nil {
					b.log.WithError(err).Warn("server not started again")
				}
			})
		}
	}
}

// revive starts a server that has crashed, unless another fault has started it already.
func (b *breaker) revive(s *serverProcess) error {
	target := slices.Index(b.fleet.servers, s)
	b.servers[target].Lock()
	defer b.servers[target].Unlock()
	if s.hasEnded() {
		if err := s.start(); err != nil {
			return err
		}
	}
	started := time.Now()
	if err := b.register(s, func() { s.setStarted(started) }); err != nil {
		return err
	}
	return errors.Annotatef(s.reached.reopen(), "step open %s", s.name)
}

func (r *record) crash(c crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, c)
}

// partsOf draws the parts of a caller's next request, and whether one of them crashes servers.
func (c *caller) partsOf() (parts []string, crashes bool) {
	parts = []string{fmt.Sprintf("aa%d", c.parts.IntN(firstParts)), fmt.Sprintf("bb%x", c.parts.IntN(otherParts))}
	part := c.traffic.crashPart.Load()
	if part == 0 || c.number%crashCallers != 0 {
		return parts, false
	}
	return slices.Insert(parts, c.parts.IntN(len(parts)+1), standin.CrashingPart(int(part))), true
}

// judgeParts holds the requests with each part that crashed servers against the time at which it has to
// be refused, and finds sound requests that were refused for a part.
func (r *record) judgeParts() []Violation {
	byPart := map[string][]crash{}
	for _, c := range r.crashes {
		if !r.serverDisturbed(c) {
			byPart[c.part] = append(byPart[c.part], c)
		}
	}
	entryOf := map[string]int{}
	var out []Violation
	for _, q := range r.requests {
		entryOf[q.ID] = q.Entry
		if !q.Crashes && q.Detail == crashRefusal {
			out = append(out, Violation{PromiseParts, fmt.Sprintf("%s at entry %d was refused, and has no part that crashes servers", q.ID, q.Entry)})
		}
	}
	for part, crashes := range byPart {
		if len(crashes) < crashesSeen {
			continue
		}
		slices.SortFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
		first, bound := crashes[0].at, crashes[crashesSeen-1].at.Add(crashNotice)
		if late := r.lateCrashes(part, first, bound, entryOf); late > crashSlack {
			out = append(out, Violation{PromiseParts, fmt.Sprintf("%d requests with %s reached servers over %v after crash %d, %d allowed; %d crashed", late, part, crashNotice, crashesSeen, crashSlack, len(crashes))})
		}
	}
	return out
}

// lateCrashes counts the requests with a part that reached servers after a time, from entries that
// weren't disturbed since the first crash.
func (r *record) lateCrashes(part string, first, bound time.Time, entryOf map[string]int) (late int) {
	for _, a := range r.arrivals {
		entry, known := entryOf[a.ID]
		if known && a.Part == part && a.At.After(bound) && !r.entryDisturbed(entry, first, a.At) && !r.heldUp(a) {
			late++
		}
	}
	return late
}

// serverDisturbed reports whether a crash may have been hidden from the entry that sent the request: by
// the link to the server, or since the server was ended in the same moment.
func (r *record) serverDisturbed(c crash) bool {
	return slices.ContainsFunc(r.spans, func(s span) bool {
		hides := slices.Contains([]Fault{ServerCut, ServerReset, ServerDelay, ServerKill, ServerPause, ServerLeave}, s.Fault)
		return hides && serverName(s.Target) == c.instance && s.From.Before(c.at.Add(time.Second)) && c.at.Before(s.To.Add(time.Second))
	})
}

const (
	// onlyEvery is the time between two times in which new connections go to one entry, onlyLasts
	// how long one lasts, onlyShare the share of these connections.
	onlyEvery = 16 * time.Second
	onlyLasts = 6 * time.Second
	onlyShare = 0.9
)

// onlySteps are the times in which new connections go to one entry. They are drawn apart.
func onlySteps(seed uint64, lasts time.Duration, entries int) []Step {
	r := rand.New(rand.NewPCG(seed, 6))
	var out []Step
	for at := calmStart + time.Duration(r.Int64N(int64(onlyEvery/2))); at < lasts; at += onlyEvery {
		out = append(out, Step{At: at, For: min(onlyLasts, lasts-at), Fault: OneEntry, Target: r.IntN(entries)})
	}
	return out
}

// prefer has most new connections go to one entry for a while.
func (b *breaker) prefer(entry int, d time.Duration) error {
	b.fleet.traffic.only.Store(int64(entry + 1))
	time.Sleep(d)
	b.fleet.traffic.only.Store(0)
	return nil
}

// connectAgain has the caller open a new connection to the entry that gets most of them, unless its
// last try failed.
func (c *caller) connectAgain(last Outcome) {
	only := int(c.traffic.only.Load())
	if only == 0 || last != Whole || c.parts.Float64() > onlyShare {
		return
	}
	c.client.CloseIdleConnections()
	c.at = only - 1
}
