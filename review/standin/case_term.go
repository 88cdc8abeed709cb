//go:build review

package main

import (
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Times of case term, after the SIGTERM.
const (
	termGrace     = 8 * time.Second         // grace_s
	termLossSlack = 200 * time.Millisecond  // loss_slack_ms
	termFirst     = 5950 * time.Millisecond // the first of the requests is sent
	termLast      = 6400 * time.Millisecond // the last one
	termRequests  = 15
	// termWork is how long the engine works on each of them. It is less than the timeout_ms
	// of their route, 2,000 ms, and termDeadline, the deadline of their clients.
	termRouteTimeout = 2 * time.Second
	termWork         = 1800 * time.Millisecond
	termDeadline     = 2500 * time.Millisecond
	termStreams      = 4
	// A stream of termEvents events, each 250 ms, begins a second before the SIGTERM.
	termEvents = 28
)

// caseTerm: a gateway gets SIGTERM while it relays streams. Clients with kept connections,
// idle so far, send plain requests while the gateway still serves them.
func caseTerm(r *run) (bool, error) {
	s, err := startStore(loopback())
	if err != nil {
		return false, err
	}
	defer s.server.Close()
	var engines []*engine
	for _, x := range []struct{ id, service, zone string }{
		{"i-app-1", "roster-app", "hobart"}, {"i-app-2", "roster-app", "launceston"}, {"i-app-3", "roster-app", "burnie"},
		{"i-pool-1", "briar-pool", "hobart"}, {"i-pool-2", "briar-pool", "launceston"}, {"i-pool-3", "briar-pool", "burnie"},
	} {
		e, err := startEngine(x.id, x.service, x.zone, slotsOf(x.service))
		if err != nil {
			return false, err
		}
		defer e.server.Close()
		e.beat(s)
		engines = append(engines, e)
	}
	s.put("config", "main", configuration(1))
	stop := heartbeats(s, engines)
	defer stop()
	n, err := startNode(r.dir, "front-hobart-1", "hobart", s.address)
	if err != nil {
		return false, err
	}
	defer n.kill()
	if err := n.awaitReady(20 * time.Second); err != nil {
		r.note("%s", logTail(r.dir, n.name))
		return false, err
	}
	r.note("%s is ready", n.name)

	// Kept connections: each has had one quick answer, and is idle.
	clients := make([]*client, termRequests)
	for i := range clients {
		if clients[i], err = dialClient(n.front); err != nil {
			return false, err
		}
		defer clients[i].conn.Close()
		first := clients[i].do("POST", "/commit/x", "{}", request("15", ""), termDeadline)
		if first.status != 200 || first.body != answerTo(first.id) {
			r.note("first request %s: %s", first.id, first)
			r.note("%s", logTail(r.dir, n.name))
			return false, errNotServed
		}
	}
	r.note("%d connections are open, each has had its first answer", len(clients))

	var all sync.WaitGroup
	for range termStreams {
		c, err := dialClient(n.front)
		if err != nil {
			return false, err
		}
		defer c.conn.Close()
		all.Go(func() {
			headers := request("", strconv.Itoa(termEvents))
			res := c.do("POST", "/draft/x", "{}", headers, 10*time.Second)
			r.note("stream %s ended: %s", res.id, res)
		})
	}
	time.Sleep(time.Second)
	termed := time.Now()
	if r.trouble {
		n.signal(syscall.SIGTERM)
		r.note("SIGTERM to %s", n.name)
		time.AfterFunc(termGrace, func() {
			r.note("grace_s is over, still running: %v", n.running())
			_ = n.command.Process.Kill()
		})
	}
	results := make([]result, len(clients))
	for i, c := range clients {
		at := termFirst + (termLast-termFirst)*time.Duration(i)/time.Duration(len(clients)-1)
		all.Go(func() {
			time.Sleep(time.Until(termed.Add(at)))
			results[i] = c.do("POST", "/commit/x", "{}", request(strconv.Itoa(int(termWork.Milliseconds())), ""), termDeadline)
		})
	}
	all.Wait()
	if !r.trouble {
		for _, res := range results {
			if res.status != 200 || res.body != answerTo(res.id) {
				r.note("request %s: %s", res.id, res)
				return false, errCalm
			}
		}
	}
	return judgeTerm(r, engines, results, termed), nil
}

// lostAtTerm reports whether the rule LOST counts a request as lost around the SIGTERM: its
// connection ended without a complete answer, once it had been passed on or later than
// loss_slack_ms after its last byte, in the time of the planned work, and by none of the
// causes that the rule leaves out. The engines here never break off by themselves.
func lostAtTerm(res result, ran int, termed time.Time) bool {
	took, sent, ended := res.ended.Sub(res.sent), res.sent.Sub(termed), res.ended.Sub(termed)
	switch {
	case res.complete:
		return false
	case ran == 0 && took <= termLossSlack:
		return false
	case took >= termRouteTimeout: // or the deadline, which is later
		return false
	case ended < 0 || ended > termGrace+time.Second: // no planned work
		return false
	case sent <= 3*time.Second && ended >= termGrace*5/6: // at work in the last sixth of the grace
		return false
	}
	return true
}

// judgeTerm checks the rule LOST.
func judgeTerm(r *run, engines []*engine, results []result, termed time.Time) bool {
	lost := 0
	for _, res := range results {
		ran, cut := 0, 0
		for _, e := range engines {
			for _, run := range e.runsOf(res.id) {
				ran++
				if !run.finished {
					cut++
				}
			}
		}
		verdict := ""
		if lostAtTerm(res, ran, termed) {
			lost++
			verdict = "  LOST"
		}
		r.note("request %s sent %.2f s after the SIGTERM, ended %.2f s after it: ran %d times, %d cut; the client saw %s%s",
			res.id, res.sent.Sub(termed).Seconds(), res.ended.Sub(termed).Seconds(), ran, cut, res, verdict)
	}
	r.note("%d of %d requests are lost as the rule counts it", lost, len(results))
	return lost == 0
}
