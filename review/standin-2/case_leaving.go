//go:build review

package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { drivers["leaving"] = caseLeaving }

const (
	leavingStreams = 24
	leavingEvents  = 16
	// noticeTime is the time from the notice of a server that leaves to its end.
	noticeTime = 2 * time.Second
	// budgetTime is the time after which a gateway has its share of the retries, by docs/SETTINGS.md.
	budgetTime = 12 * time.Second
)

// caseLeaving empties one engine of four, which is gone two seconds after its notice. Streams that
// it has begun are resumable and are to go on elsewhere.
func caseLeaving(r *run) (bool, error) {
	f, err := r.startFleet(fleetOptions{
		engines: 4, apps: 1, engineArgs: []string{"-unframed", "-events", fmt.Sprint(leavingEvents), "-gap", "240ms"},
		zones: []string{"hobart", "launceston"},
	})
	if err != nil {
		return false, err
	}
	time.Sleep(budgetTime)
	streams := make([]*attempt, leavingStreams)
	var all sync.WaitGroup
	for i := range streams {
		body := strings.Repeat("b", 1200)
		a := &attempt{
			id: newAttemptID(), method: http.MethodPost, path: fmt.Sprintf("%s%d", streamPath, i), deadline: 10 * time.Second,
			bodyBytes: len(body), body: strings.NewReader(body),
			header: map[string]string{"X-Model": "m", "X-Token-Usage": "4960,688", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:4960", 1<<20+i)},
		}
		streams[i] = a
		all.Go(func() {
			a.send(f.gateways[i%len(f.gateways)].front)
			if a.conn != nil {
				_ = a.conn.Close()
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	leaves := f.busiest()
	if err := call(http.MethodPost, "http://"+leaves.address+"/standin/drain", nil); err != nil {
		return false, err
	}
	r.note("%s has told the store that it leaves", leaves.id)
	if r.trouble {
		time.Sleep(noticeTime)
		r.signal(leaves.process, syscall.SIGKILL)
	}
	all.Wait()
	return judgeStreams(r, streams, leaves.id), nil
}

// busiest returns the engine that has begun most requests.
func (f *fleet) busiest() *serverProcess {
	runs, _ := f.runs() // without them each has begun none
	count := func(s *serverProcess) int { return strings.Count(runs, " "+s.id+" run ") }
	return slices.MaxFunc(f.engines, func(a, b *serverProcess) int { return cmp.Compare(count(a), count(b)) })
}

// judgeStreams applies the rule: a stream that ends as complete has all its events, each once.
func judgeStreams(r *run, streams []*attempt, leaves string) bool {
	begunThere, whole, short, ended := 0, 0, 0, 0
	for _, a := range streams {
		r.detail("%s", a)
		if strings.HasPrefix(a.seal, leaves+".") {
			begunThere++
		}
		want := ""
		for i := 1; i <= leavingEvents; i++ {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", i, eventData(a.path, i))
		}
		switch {
		case a.answered.IsZero():
			ended++
		case a.status == http.StatusOK && string(a.answer) != want:
			short++
			r.note("stream %s ends as complete with %d of %d events, seal %s", a.id, strings.Count(string(a.answer), "\n\n"), leavingEvents, a.seal)
		default:
			whole++
		}
	}
	r.note("%d streams, %d begun at the server that left: %d whole, %d ended as complete without their last events, %d broken off or refused", len(streams), begunThere, whole, short, ended)
	return short == 0
}
