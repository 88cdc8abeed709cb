//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { drivers["early"] = caseEarly }

const (
	// earlyTokens is the longest prompt of conflict-review on the site, and earlyBytes its body, at the
	// site's 0.25 bytes a token.
	earlyTokens  = 600000
	earlyBytes   = earlyTokens / 4
	earlyStreams = 4
	earlyEngines = 16
	earlyEvents  = 16
	// readPause is how long an engine that reads on later takes until then.
	readPause = 3 * time.Second
)

// caseEarly sends long prompts right after a SIGHUP of the gateway, to engines that answer before they
// have read the body. With the disruption they read on three seconds later, otherwise at once.
func caseEarly(r *run) (bool, error) {
	pause := time.Duration(0)
	if r.trouble {
		pause = readPause
	}
	f, err := r.startFleet(fleetOptions{
		engines: earlyEngines, apps: 1, engineCommand: "early", engineArgs: []string{"-read-after", pause.String(), "-events", fmt.Sprint(earlyEvents)},
		zones: []string{"hobart", "launceston"},
	})
	if err != nil {
		return false, err
	}
	time.Sleep(budgetTime)
	signalled := f.gateways[0] // one of two: the site goes up to a share of 0.786
	r.signal(signalled.process, syscall.SIGHUP)
	streams := make([]*attempt, earlyStreams)
	var all sync.WaitGroup
	for i := range streams {
		a := streamAttempt(i, strings.NewReader(strings.Repeat("b", earlyBytes)), earlyBytes)
		a.path, a.deadline = fmt.Sprintf("%s%d", longPath, i), 15*time.Second
		a.header["X-Token-Usage"] = fmt.Sprintf("%d,688", earlyTokens)
		a.header["X-Prompt-Prefix"] = fmt.Sprintf("5c1e07a2:40,%x:%d", 1<<20+i, earlyTokens-40)
		streams[i] = a
		all.Go(func() {
			a.send(signalled.front)
			if a.conn != nil {
				_ = a.conn.Close()
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	return judgePlannedWork(r, f, streams)
}

// judgePlannedWork applies the rule: a request that was sent up to config_ms after the SIGHUP, and
// passed on to an engine, gets a complete answer on its connection.
func judgePlannedWork(r *run, f *fleet, streams []*attempt) (bool, error) {
	runs, err := f.runs()
	if err != nil {
		return false, err
	}
	lost, refused := 0, 0
	for _, a := range streams {
		r.note("%s, %d of %d events", a, strings.Count(string(a.answer), "\n\n"), earlyEvents)
		switch {
		case a.answered.IsZero() && strings.Contains(runs, " run "+a.id+" "):
			lost++
		case a.status != 200:
			refused++
		}
	}
	r.note("%d requests sent right after the SIGHUP: %d passed on and ended without a complete answer, %d answered with a failure", len(streams), lost, refused)
	if lost == 0 && refused > 0 {
		return false, fmt.Errorf("%d requests were not served, which says nothing of the rule", refused)
	}
	return lost == 0, nil
}
