package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/platform/standin"
)

// Servers announce in their responses that they shut down, or for how long they want no requests.
const (
	// leaveEvery is the time between two servers that begin to shut down, leaveLasts how long
	// one serves on before it ends and starts again.
	leaveEvery = 9 * time.Second
	leaveLasts = 5 * time.Second
	// leaveLimit is the time from an entry's relaying of the notice to the last request that a
	// caller sends and that may reach the server from there.
	leaveLimit = 2 * time.Second
	// backOffEvery is the time between two servers that begin to refuse requests, backOffLasts
	// how long they do so, backOffSeconds the time that they name.
	backOffEvery   = 7 * time.Second
	backOffLasts   = 4 * time.Second
	backOffSeconds = 3
	// backOffNotice is the time after a refusal from which the server may get backOffSlack
	// requests from the entry that it refused, until the end of the time that it named.
	backOffNotice = 500 * time.Millisecond
	backOffSlack  = 2
	// noticeTimeout bounds the call that makes a server announce something.
	noticeTimeout = 500 * time.Millisecond
)

// noticeSteps are the servers that announce something in their responses. They are drawn apart,
// so that a seed's other steps are the same with and without them.
func noticeSteps(seed uint64, lasts time.Duration, servers int) []Step {
	r := rand.New(rand.NewPCG(seed, 4))
	var out []Step
	for at := calmStart; at < lasts; at += leaveEvery {
		out = append(out, Step{At: at, For: leaveLasts, Fault: ServerLeave, Target: r.IntN(servers)})
	}
	for at := calmStart; at < lasts; at += backOffEvery {
		out = append(out, Step{At: at, For: backOffLasts, Fault: ServerBackOff, Target: r.IntN(servers)})
	}
	return out
}

// leave has a server announce that it shuts down, while its registration goes on saying that it is
// ready, and then ends and starts it.
func (b *breaker) leave(target int, d time.Duration) error {
	s := b.fleet.servers[target]
	asked := s.ask(standin.PathLeave, "")
	time.Sleep(d)
	b.servers[target].Lock()
	defer b.servers[target].Unlock()
	if err := s.replace(0); err != nil {
		return err
	}
	started := time.Now()
	if err := b.register(s, func() { s.setStarted(started) }); err != nil {
		return err
	}
	return asked
}

// backOff has a server refuse all requests with a time for which it wants no others.
func (b *breaker) backOff(s *serverProcess, d time.Duration) error {
	err := s.ask(standin.PathBackOff, fmt.Sprintf("ms=%d&seconds=%d", d.Milliseconds(), backOffSeconds))
	time.Sleep(d)
	return err
}

// ask has a server change what it does. One that is down or stands still doesn't.
func (s *serverProcess) ask(path, query string) error {
	client := &http.Client{Timeout: noticeTimeout}
	response, err := client.Get("http://" + s.address + path + "?" + query)
	if err != nil {
		return errors.Annotatef(err, "step ask %s, peer %s", path, s.name)
	}
	return errors.Trace(response.Body.Close())
}

// notice is a response with an announcement that an entry certainly received.
type notice struct {
	entry    int
	instance string
	at       time.Time // when its caller had the entry's answer
	to       time.Time // end of the server, or of the time that it named
}

// judgeNotices holds the requests that reached servers against what these had announced.
func (r *record) judgeNotices() []Violation {
	requests, arrivals := map[string]request{}, map[string]int{}
	for _, q := range r.requests {
		requests[q.ID] = q
	}
	for _, a := range r.arrivals {
		arrivals[a.ID]++
	}
	var out []Violation
	for _, a := range r.arrivals {
		q, known := requests[a.ID]
		if !known || arrivals[a.ID] > 1 {
			continue // its answer may be another server's
		}
		n := notice{entry: q.Entry, instance: a.Instance, at: q.Ended}
		if a.Leaving && q.Outcome == Whole {
			n.to = r.serverEnd(a.Instance, a.At)
			out = append(out, r.judgeLeaving(n, requests)...)
		}
		if a.BackOffMS > 0 && q.Outcome == NotRun {
			n.to = a.At.Add(time.Duration(a.BackOffMS) * time.Millisecond)
			out = append(out, r.judgeBackOff(n, a.At, requests)...)
		}
	}
	return out
}

// judgeLeaving finds requests that callers sent leaveLimit after an entry had relayed a notice, and
// that reached the server from there.
func (r *record) judgeLeaving(n notice, requests map[string]request) []Violation {
	for _, a := range r.reached(n, requests) {
		if late := requests[a.ID].Sent.Sub(n.at); late > leaveLimit {
			return []Violation{{PromiseLeaving, fmt.Sprintf("%s got %s, sent to entry %d %v after that had relayed its notice", n.instance, a.ID, n.entry, late)}}
		}
	}
	return nil
}

// judgeBackOff counts the requests that reached a server from an entry that it had refused at a
// time, within the time that it named.
func (r *record) judgeBackOff(n notice, refused time.Time, requests map[string]request) []Violation {
	got := 0
	for _, a := range r.reached(n, requests) {
		if a.At.Sub(refused) > backOffNotice {
			got++
		}
	}
	if got <= backOffSlack {
		return nil
	}
	return []Violation{{PromiseBackOff, fmt.Sprintf("%s got %d requests from entry %d in the time that it wanted none, %d allowed", n.instance, got, n.entry, backOffSlack)}}
}

// reached returns what reached a server from an entry between a notice and its end. It leaves out
// what may have been under way, and all that followed a disturbance of the entry or the server.
func (r *record) reached(n notice, requests map[string]request) []arrival {
	to := r.serverEnd(n.instance, n.at)
	if n.to.Before(to) {
		to = n.to
	}
	var out []arrival
	for _, a := range r.arrivals {
		q, known := requests[a.ID]
		from := known && q.Entry == n.entry && a.Instance == n.instance
		if from && a.At.After(n.at) && a.At.Before(to) && !r.entryDisturbed(n.entry, n.at, a.At) && !r.heldUp(a) {
			out = append(out, a)
		}
	}
	return out
}

// serverEnd returns when a server ended next after a time; its next start has announced nothing.
func (r *record) serverEnd(instance string, after time.Time) time.Time {
	end := after.Add(time.Hour)
	for _, s := range r.spans {
		ends := slices.Contains([]Fault{ServerKill, ServerLeave}, s.Fault) && serverName(s.Target) == instance
		at := s.From
		if s.Fault == ServerLeave {
			at = s.From.Add(s.For)
		}
		if ends && at.After(after) && at.Before(end) {
			end = at
		}
	}
	for _, c := range r.crashes {
		if c.instance == instance && c.at.After(after) && c.at.Before(end) {
			end = c.at
		}
	}
	return end
}
