package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
)

// breaker brings faults about. Two at the same target overlap only where that makes sense;
// those of the store as a whole and of one process wait for each other.
type breaker struct {
	fleet *fleet
	log   logrus.FieldLogger
	begun time.Time

	config  sync.Mutex   // held while the configuration or the store's faults change
	entries []sync.Mutex // held while an entry is made to end or to stand still
	servers []sync.Mutex // the same of a server
	running sync.WaitGroup
}

func newBreaker(f *fleet, log logrus.FieldLogger) *breaker {
	return &breaker{fleet: f, log: log, entries: make([]sync.Mutex, len(f.entries)), servers: make([]sync.Mutex, len(f.servers))}
}

// run brings the steps of a plan about at their times, and waits for their ends and for the servers
// that crashed meanwhile.
func (b *breaker) run(ctx context.Context, plan []Step) {
	b.begun = time.Now()
	reviving, stop := context.WithCancel(ctx)
	revived := make(chan struct{})
	go func() {
		defer close(revived)
		b.reviveServers(reviving)
	}()
	for _, s := range plan {
		if !sleepUntil(ctx, b.begun.Add(s.At)) {
			break
		}
		b.running.Go(func() { b.step(s) })
	}
	b.running.Wait()
	stop()
	<-revived
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

// step brings one fault about, to its end.
func (b *breaker) step(s Step) {
	defer b.lock(s)()
	from := time.Now()
	err := b.apply(s)
	to := time.Now()
	b.fleet.record.span(span{Step: s, From: from, To: to})
	line := b.log.WithFields(logrus.Fields{"fault": s.Fault, "target": s.Target, "at_ms": from.Sub(b.begun).Milliseconds(), "ms": to.Sub(from).Milliseconds()})
	if err != nil {
		line.WithError(err).Warn("fault not brought about whole")
		return
	}
	line.Info("fault ended")
}

func (b *breaker) apply(s Step) error {
	f := b.fleet
	switch s.Fault {
	case EntryKill:
		e := f.entries[s.Target]
		e.kill()
		time.Sleep(s.For)
		return e.start()
	case EntryTerm:
		return b.terminate(s)
	case EntryPause:
		return pause(f.entries[s.Target].process, s.For)
	case EntryHup:
		f.entries[s.Target].signal(syscall.SIGHUP)
		return nil
	case EntriesKill:
		return b.killAll(s.For)
	case ServerKill:
		return f.servers[s.Target].replace(s.For)
	case ServerPause:
		return pause(f.servers[s.Target].process, s.For)
	case StoreCut, StoreReset, StoreRefused:
		return onLink(f.entries[s.Target].toStore, linkModes[s.Fault], s.For)
	case ServerCut, ServerReset, ServerDelay:
		return onLink(f.servers[s.Target].reached, linkModes[s.Fault], s.For)
	case Configure:
		return b.configure(nil)
	case Revoke:
		return b.configure(func() { delete(f.keys, "removed") })
	}
	switch s.Fault {
	case Evacuate:
		return b.evacuate(f.servers[s.Target].zone, s.For)
	case ServerCold:
		return b.chill(f.servers[s.Target], s.For)
	case ServerNeed:
		return b.needs(f.servers[s.Target], s.For)
	case ServerLeave:
		return b.leave(s.Target, s.For)
	case ServerBackOff:
		return b.backOff(f.servers[s.Target], s.For)
	case PartCrash:
		return b.crashes(s.Target, s.For)
	case OneEntry:
		return b.prefer(s.Target, s.For)
	case StoreRestore:
		return b.restoreStore(s.For)
	case ServerEndless:
		return b.sendsWithoutEnd(f.servers[s.Target], s.For)
	}
	return b.onStore(s)
}

// lock keeps two faults apart that would undo each other: of one process's life, of the store
// as a whole and the configuration. It returns what unlocks. Locks of entries are taken in
// order.
func (b *breaker) lock(s Step) (unlock func()) {
	var held []*sync.Mutex
	switch s.Fault {
	case EntryKill, EntryTerm, EntryPause:
		held = []*sync.Mutex{&b.entries[s.Target]}
	case EntriesKill:
		for i := range b.entries {
			held = append(held, &b.entries[i])
		}
	case ServerKill, ServerPause:
		held = []*sync.Mutex{&b.servers[s.Target]}
	case Configure, Revoke, StoreDown, StoreSlow, StoreForgets, StoreLoses:
		held = []*sync.Mutex{&b.config}
	}
	for _, m := range held {
		m.Lock()
	}
	return func() {
		for _, m := range held {
			m.Unlock()
		}
	}
}

// terminate tells an entry to end, waits for that as long as it may take, and starts it.
// Callers that hold connections to it use them around its end.
func (b *breaker) terminate(s Step) error {
	e := b.fleet.entries[s.Target]
	kept := keepConns(e.address)
	e.signal(syscall.SIGTERM)
	b.useKept(kept, time.Now(), s)
	if !e.wait(grace + graceSlack) {
		b.fleet.record.mu.Lock()
		b.fleet.record.stuck = append(b.fleet.record.stuck, e.name)
		b.fleet.record.mu.Unlock()
		e.kill()
	}
	return e.start()
}

// replace kills a server and starts it again under its name and address. Meanwhile its address
// refuses connections.
func (s *serverProcess) replace(down time.Duration) error {
	s.reached.close()
	s.kill()
	time.Sleep(down)
	if err := s.start(); err != nil {
		return err
	}
	return s.reached.open()
}

// pause has a process stand still for a while.
func pause(p *process, d time.Duration) error {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	return nil
}

// killAll kills all entries at the same moment.
func (b *breaker) killAll(down time.Duration) error {
	for _, e := range b.fleet.entries {
		e.signal(syscall.SIGKILL)
	}
	time.Sleep(down)
	for _, e := range b.fleet.entries {
		if err := e.restart(); err != nil {
			return err
		}
	}
	return nil
}

// linkModes are what faults of links do to them.
var linkModes = map[Fault]mode{
	StoreCut: silent, StoreReset: resets, StoreRefused: refuses,
	ServerCut: silent, ServerReset: resets, ServerDelay: delays,
}

func onLink(l *link, m mode, d time.Duration) error {
	l.set(m)
	time.Sleep(d)
	l.set(passes)
	return nil
}

// configure changes the configuration; change may be nil.
func (b *breaker) configure(change func()) error {
	if change != nil {
		change()
	}
	if err := b.fleet.configure(context.Background()); err != nil {
		return err
	}
	r := b.fleet.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if change != nil {
		r.revoked = time.Now()
	}
	return nil
}

// onStore breaks the store for a while.
func (b *breaker) onStore(s Step) error {
	// The numbers are large against what a few entries ask in the time that a fault lasts.
	const slowMS, forgets = 400, 20
	faults := map[Fault]memory.Faults{
		StoreDown: {Down: true}, StoreSlow: {LatencyMS: slowMS}, StoreForgets: {GapNext: forgets}, StoreLoses: {LoseProbability: 0.5},
	}
	if err := b.setFaults(faults[s.Fault]); err != nil {
		return err
	}
	time.Sleep(s.For)
	return b.setFaults(memory.Faults{})
}

func (b *breaker) setFaults(f memory.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return errors.Trace(err)
	}
	return b.controlStore("fault", body)
}

// controlStore calls a control path of the stand-in store.
func (b *breaker) controlStore(path string, body []byte) error {
	response, err := http.Post("http://"+b.fleet.storeAt+"/standin/"+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Annotatef(err, "step control store, %s, peer %s", path, b.fleet.storeAt)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("step control store, %s, peer %s: status %d", path, b.fleet.storeAt, response.StatusCode)
	}
	return nil
}
