//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { drivers["crash"] = caseCrash }

const (
	// crashEngines is the number of engines of the site, of which srv_crash takes the share of 0.17.
	crashEngines = 16
	crashed      = 3
	crashStreams = 240
	crashEvents  = 16
	// earlierStreams are answered in chunks before, so that gateways keep connections to the engines.
	earlierStreams = 640
)

// caseCrash kills three engines of sixteen in the middle of streams that end with their connection.
func caseCrash(r *run) (bool, error) {
	f, err := r.startFleet(fleetOptions{
		engines: crashEngines, apps: 1, engineArgs: []string{"-unframed", "-events", fmt.Sprint(crashEvents), "-gap", "300ms"},
		zones: []string{"hobart", "hobart", "launceston", "burnie"},
	})
	if err != nil {
		return false, err
	}
	time.Sleep(budgetTime)
	var earlier, all sync.WaitGroup
	for i := range earlierStreams {
		earlier.Go(func() {
			a := streamAttempt(i, strings.NewReader(strings.Repeat("b", 1200)), 1200)
			a.path = fmt.Sprintf("%s%d", framedPath, i)
			a.send(f.gateways[i%len(f.gateways)].front)
			r.detail("%s, before", a)
			if a.conn != nil {
				_ = a.conn.Close()
			}
		})
	}
	earlier.Wait()
	streams := make([]*attempt, crashStreams)
	for i := range streams {
		a := streamAttempt(i, strings.NewReader(strings.Repeat("b", 1200)), 1200)
		streams[i] = a
		all.Go(func() {
			a.send(f.gateways[i%len(f.gateways)].front)
			if a.conn != nil {
				_ = a.conn.Close()
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	if r.trouble {
		for _, s := range f.byRuns()[:crashed] {
			r.signal(s.process, syscall.SIGKILL)
		}
	}
	all.Wait()
	return judgeWhole(r, streams, crashEvents)
}

// judgeWhole applies the rule: a stream that ends as complete has all its events, each once.
func judgeWhole(r *run, streams []*attempt, events int) (bool, error) {
	whole, short, ended := 0, 0, 0
	for _, a := range streams {
		r.detail("%s, %d of %d events", a, strings.Count(string(a.answer), "\n\n"), events)
		want := ""
		for i := 1; i <= events; i++ {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", i, eventData(a.path, i))
		}
		switch {
		case a.answered.IsZero() || a.status != 200:
			ended++
		case string(a.answer) != want:
			short++
			r.note("stream %s ends as complete with %d of %d events, seal %s", a.id, strings.Count(string(a.answer), "\n\n"), events, a.seal)
		default:
			whole++
		}
	}
	r.note("%d streams: %d whole, %d ended as complete without their last events, %d broken off or refused", len(streams), whole, short, ended)
	if !r.trouble && short == 0 && ended > 0 {
		return false, fmt.Errorf("%d streams were not served without the disruption", ended)
	}
	return short == 0, nil
}
