//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["leave"] = caseLeave }

const (
	leaveEngines = 16  // as in dwa-rosters
	shortStreams = 480 // of two events each, before the long ones
	longStreams  = 96
	longEvents   = 32 // each 250 ms: 8 s
	// leaveNotice is the time from the notice of an engine that is taken away to its end.
	leaveNotice = 2 * time.Second
	// entryExpiry is the time after which the store removes the entry of a silent engine:
	// three times heartbeat_ms.
	entryExpiry = 3600 * time.Millisecond
)

// caseLeave: an engine says that it leaves, and is gone two seconds later, while it still
// runs streams. It has answered one of them without a length.
func caseLeave(r *run) (bool, error) {
	s, err := startStore(loopback())
	if err != nil {
		return false, err
	}
	defer s.server.Close()
	var engines []*killableEngine
	var entries []*engine
	for i := range leaveEngines {
		zone := []string{"hobart", "launceston", "burnie"}[i%3]
		k, err := startKillableEngine(fmt.Sprintf("i-pool-%d", i+1), zone, i == 0)
		if err != nil {
			return false, err
		}
		defer k.kill()
		k.engine.beat(s)
		engines, entries = append(engines, k), append(entries, &k.engine)
	}
	s.put("config", "main", configuration(1))
	leaving := engines[0]
	stopOthers := heartbeats(s, entries[1:])
	defer stopOthers()
	stopLeaving := sync.OnceFunc(heartbeats(s, entries[:1]))
	defer stopLeaving()
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
	short := streamAll(n.front, shortStreams, 2)
	recordStreams(r, short, engines)
	if held, whole := judgeStreams(r, short, 2); !held || whole < len(short) {
		return false, errNotServed
	}

	var results []result
	done := make(chan struct{})
	go func() {
		defer close(done)
		results = streamAll(n.front, longStreams, longEvents)
	}()
	time.Sleep(2 * time.Second)
	if r.trouble {
		leaving.engine.drain(s)
		r.note("%s says in the store that it is draining", leaving.engine.id)
		time.Sleep(leaveNotice)
		stopLeaving()
		leaving.kill()
		r.note("%s is gone", leaving.engine.id)
		expiry := time.AfterFunc(entryExpiry, func() { s.expire("servers", leaving.engine.id) })
		defer expiry.Stop()
	}
	<-done
	recordStreams(r, results, engines)
	unframed := 0
	for _, b := range leaving.streams() {
		if b.Unframed {
			unframed++
		}
	}
	r.note("%s began %d streams, and answered %d of them without a length", leaving.engine.id, len(leaving.streams()), unframed)
	held, whole := judgeStreams(r, results, longEvents)
	if !r.trouble && whole < len(results) && held {
		return false, errCalm
	}
	return held, nil
}

// recordStreams writes what was sent, where it ran and what was answered.
func recordStreams(r *run, results []result, engines []*killableEngine) {
	ran := map[string]string{}
	for _, k := range engines {
		for _, b := range k.streams() {
			ran[b.ID] += fmt.Sprintf(" %s", k.engine.id)
			if b.From > 0 {
				ran[b.ID] += fmt.Sprintf(" (behind event %d)", b.From)
			}
			if b.Unframed {
				ran[b.ID] += " (without a length)"
			}
		}
	}
	for _, res := range results {
		r.note("stream %s sent at %.3f, ended at %.3f; ran at%s; the client saw %s", res.id, r.sinceBegin(res.sent), r.sinceBegin(res.ended), ran[res.id], res)
	}
}

// streamAll sends so many streams at once, each on a connection of its own.
func streamAll(address string, count, events int) []result {
	results := make([]result, count)
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() {
			c, err := dialClient(address)
			if err != nil {
				results[i].err = err
				return
			}
			defer c.conn.Close()
			results[i] = c.do("POST", "/draft/x", "{}", request("", strconv.Itoa(events)), 10*time.Second)
		})
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
	return results
}

// judgeStreams checks the rule ORDER: no stream ends as complete before its last piece, and
// none lacks a piece or has one twice. It also returns how many are whole.
func judgeStreams(r *run, results []result, events int) (held bool, whole int) {
	held = true
	cut := 0
	for _, res := range results {
		var want strings.Builder
		for n := 1; n <= events; n++ {
			want.WriteString(streamEvent(res.id, n))
		}
		switch {
		case res.status == 200 && res.complete && res.body == want.String():
			whole++
		case res.status == 200 && res.complete:
			held = false
			r.note("stream %s ended as complete with %d of %d events  ORDER", res.id, strings.Count(res.body, "data: "), events)
		default:
			cut++
		}
	}
	r.note("%d streams of %d events: %d whole, %d refused or visibly cut", len(results), events, whole, cut)
	return held, whole
}
