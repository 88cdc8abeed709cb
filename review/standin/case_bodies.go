//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["bodies"] = caseBodies }

const (
	// memoryLimit is memory_mb of a front of dwa-rosters.
	memoryLimit = 284.0
	// uploadBytes is the length of the bodies; max_body_bytes is 4,194,304.
	uploadBytes = 2_600_000
	// uploadTime is how long a client takes to send one: 4.2 Mbit/s.
	uploadTime = 5 * time.Second
	// uploadRate is the traffic a second of the zone launceston of dwa-rosters, which has one
	// front. notice-draft is 34 in 43.63 of it.
	uploadRate = 14.7
	noticeRate = uploadRate * 34 / 43.63
	// burstRate is the traffic while that of notice-draft is burstFactor times the usual.
	burstFactor = 2.5
	burstRate   = uploadRate + (burstFactor-1)*noticeRate
	calmTime    = 6 * time.Second
	burstTime   = 9500 * time.Millisecond
	// steadyClients send one request after the other on a kept connection each.
	steadyClients = 12
)

// caseBodies: clients send long bodies at the usual rate, and at twice that rate in a burst.
// The platform ends the process when it holds more than its memory.
func caseBodies(r *run) (bool, error) {
	s, err := startStore(loopback())
	if err != nil {
		return false, err
	}
	defer s.server.Close()
	var engines []*engine
	for i, zone := range []string{"hobart", "launceston", "burnie"} {
		for _, service := range []string{"roster-app", "briar-pool"} {
			e, err := startEngine(fmt.Sprintf("i-%s-%d", service, i+1), service, zone, slotsOf(service))
			if err != nil {
				return false, err
			}
			defer e.server.Close()
			e.beat(s)
			engines = append(engines, e)
		}
	}
	s.put("config", "main", configuration(1))
	stop := heartbeats(s, engines)
	defer stop()
	n, err := startNode(r.dir, "front-launceston-1", "launceston", s.address)
	if err != nil {
		return false, err
	}
	defer n.kill()
	if err := n.awaitReady(20 * time.Second); err != nil {
		r.note("%s", logTail(r.dir, n.name))
		return false, err
	}
	r.note("%s is ready, it holds %.0f MB", n.name, memoryMB(n.command.Process.Pid))
	guard := newMemoryGuard(r, n)
	defer guard.stop()

	steady := newSteadyClients(n.front)
	time.Sleep(time.Second)
	u := &uploads{run: r, address: n.front}
	u.send(uploadRate, calmTime)
	if r.trouble {
		r.note("burst: notice-draft at %.1f times its usual rate for %v, %.1f requests a second in all", burstFactor, burstTime, burstRate)
		u.send(burstRate, burstTime)
	} else {
		u.send(uploadRate, burstTime)
	}
	u.wait()
	time.Sleep(time.Second)
	results := steady.stop()
	guard.stop()
	recordRequests(r, "upload", u.results, engines)
	recordRequests(r, "request on a kept connection", results, engines)
	r.note("uploads: %d answered 200, %d refused with 503, %d without an answer, %d others", u.ok.Load(), u.refused.Load(), u.unanswered.Load(), u.others.Load())
	r.note("the process held %.0f MB at most, of %.0f; ended by the platform: %v", guard.peak, memoryLimit, guard.killed)
	if !r.trouble && (int(u.ok.Load()) < len(u.results) || steady.served() < len(results)) {
		return false, errCalm
	}
	return judgeBodies(r, engines, results), nil
}

// recordRequests writes what was sent, whether it ran and what was answered.
func recordRequests(r *run, what string, results []result, engines []*engine) {
	for _, res := range results {
		ran := 0
		for _, e := range engines {
			ran += len(e.runsOf(res.id))
		}
		r.note("%s %s sent at %.3f, ended at %.3f; ran %d times; the client saw %s", what, res.id, r.sinceBegin(res.sent), r.sinceBegin(res.ended), ran, res)
	}
}

// judgeBodies checks the rule LOST for the requests on kept connections: three may be
// passed on to an engine and end with a closed connection, not more.
func judgeBodies(r *run, engines []*engine, results []result) bool {
	lost := 0
	for _, res := range results {
		ran := 0
		for _, e := range engines {
			ran += len(e.runsOf(res.id))
		}
		if ran > 0 && !res.complete {
			lost++
			r.note("request %s on a kept connection ran %d times, the client saw %s  LOST", res.id, ran, res)
		}
	}
	r.note("%d requests on kept connections, %d of them were passed on to an engine and got no answer; three are the most", len(results), lost)
	return lost <= 3
}

// memoryMB returns the anonymous memory of a process in MB.
func memoryMB(pid int) float64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "RssAnon: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// memoryGuard plays the platform, which ends a process that exceeds its memory.
type memoryGuard struct {
	done   chan struct{}
	ended  chan struct{}
	peak   float64
	killed bool
}

func newMemoryGuard(r *run, n *node) *memoryGuard {
	g := &memoryGuard{done: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(g.ended)
		for {
			select {
			case <-g.done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			g.peak = max(g.peak, memoryMB(n.command.Process.Pid))
			if g.peak > memoryLimit && !g.killed {
				g.killed = true
				r.note("%s holds %.0f MB, more than its memory of %.0f: the platform ends it", n.name, g.peak, memoryLimit)
				_ = n.command.Process.Kill()
				return
			}
		}
	}()
	return g
}

func (g *memoryGuard) stop() {
	select {
	case <-g.done:
	default:
		close(g.done)
	}
	<-g.ended
}

// uploads are requests with long bodies, each on a connection of its own.
type uploads struct {
	run                             *run
	address                         string
	mu                              sync.Mutex
	results                         []result
	all                             sync.WaitGroup
	ok, refused, unanswered, others atomic.Int64
}

// send begins requests at a rate for a time.
func (u *uploads) send(perSecond float64, d time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-ticker.C
		u.all.Go(u.one)
	}
}

func (u *uploads) wait() { u.all.Wait() }

// one sends one request evenly over uploadTime and reads its answer.
func (u *uploads) one() {
	res := u.exchange()
	u.mu.Lock()
	u.results = append(u.results, res)
	u.mu.Unlock()
	switch {
	case res.status == 200 && res.complete:
		u.ok.Add(1)
	case res.status == 503 && res.complete:
		u.refused.Add(1)
	case !res.complete:
		u.unanswered.Add(1)
	default:
		u.others.Add(1)
	}
}

func (u *uploads) exchange() result {
	const steps = 50
	h := request("", "1")
	res := result{id: h["X-Attempt-Id"]}
	c, err := dialClient(u.address)
	if err != nil {
		res.sent, res.ended, res.err = time.Now(), time.Now(), err
		return res
	}
	defer c.conn.Close()
	_ = c.conn.SetDeadline(time.Now().Add(uploadTime + 6*time.Second))
	fmt.Fprintf(c.conn, "POST /draft/x HTTP/1.1\r\nHost: roster.example\r\nX-Deadline-Ms: 10000\r\nContent-Length: %d\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nWork-Events: 1\r\n\r\n",
		uploadBytes, res.id, key)
	chunk := make([]byte, uploadBytes/steps)
	for range steps {
		if _, err := c.conn.Write(chunk); err != nil {
			break // an early answer may have come
		}
		time.Sleep(uploadTime / steps)
	}
	res.sent = time.Now()
	c.readAnswer("POST", &res)
	return res
}

// steadySet is the clients that send one request after the other.
type steadySet struct {
	done chan struct{}
	all  sync.WaitGroup

	mu      sync.Mutex
	results []result
}

func newSteadyClients(address string) *steadySet {
	t := &steadySet{done: make(chan struct{})}
	for range steadyClients {
		t.all.Go(func() { t.run(address) })
	}
	return t
}

func (t *steadySet) run(address string) {
	c, err := dialClient(address)
	if err != nil {
		return
	}
	defer c.conn.Close()
	for kept := false; ; kept = true {
		select {
		case <-t.done:
			return
		default:
		}
		res := c.do("POST", "/commit/x", "{}", request("300", ""), 2500*time.Millisecond)
		if kept { // on the first request the connection is new
			t.mu.Lock()
			t.results = append(t.results, res)
			t.mu.Unlock()
		}
		if !res.complete || res.closes {
			return
		}
	}
}

// served returns how many requests got the whole answer.
func (t *steadySet) served() int {
	n := 0
	for _, res := range t.results {
		if res.status == 200 && res.body == answerTo(res.id) {
			n++
		}
	}
	return n
}

func (t *steadySet) stop() []result {
	close(t.done)
	t.all.Wait()
	return t.results
}
