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

// A server in need names a rate in its responses.
const (
	needPerSecond = 3
	// needEvery is the time between two servers that get into need, and how long they are.
	needEvery = 12 * time.Second
	// needSettles is the time from the need's beginning from which it gets no more than
	// needOverage times its rate in each needWindow, and needSlack more, from entries that
	// relayed its rate needNotice ago or earlier.
	needSettles = 3 * time.Second
	needNotice  = 500 * time.Millisecond
	needWindow  = 4 * time.Second
	needOverage = 1.5
	needSlack   = 5
)

// need is a server that named a rate.
type need struct {
	instance string
	from, to time.Time
}

// needSteps are the servers that get into need. They are drawn apart, so that a seed's other
// steps are the same with and without them.
func needSteps(seed uint64, lasts time.Duration, servers int) []Step {
	r := rand.New(rand.NewPCG(seed, 3))
	var out []Step
	for at := calmStart; at < lasts; at += needEvery {
		out = append(out, Step{At: at, For: min(needEvery, lasts-at), Fault: ServerNeed, Target: r.IntN(servers)})
	}
	return out
}

// needs puts a server in need. One that is down or stands still isn't in need.
func (b *breaker) needs(s *serverProcess, d time.Duration) error {
	at := fmt.Sprintf("http://%s%s?ms=%d&rate=%d", s.address, standin.PathNeed, d.Milliseconds(), needPerSecond)
	client := &http.Client{Timeout: needNotice}
	response, err := client.Get(at)
	if err != nil {
		return errors.Annotatef(err, "step need, peer %s", s.name)
	}
	from := time.Now()
	b.fleet.record.needed(need{instance: s.name, from: from, to: from.Add(d)})
	time.Sleep(d)
	return errors.Trace(response.Body.Close())
}

func (r *record) needed(n need) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.needs = append(r.needs, n)
}

// judgeNeed counts what a server in need got in each window from entries that knew its rate.
func (r *record) judgeNeed(n need) []Violation {
	entryOf := map[string]int{}
	for _, q := range r.requests {
		entryOf[q.ID] = q.Entry
	}
	to := r.needEnd(n)
	toldAt := map[int]time.Time{} // when an entry first got a response in the need, by entry
	var at []time.Time
	for _, a := range r.arrivals {
		if a.Instance != n.instance || a.At.Before(n.from) || a.At.After(to) {
			continue
		}
		entry, known := entryOf[a.ID]
		if !known {
			continue // the run ended before its caller did
		}
		told, ok := toldAt[entry]
		if !ok || r.entryDisturbed(entry, told, a.At) {
			delete(toldAt, entry)
			if a.Ran && !r.responseLost(a) { // a refusal names no rate
				toldAt[entry] = a.At
			}
			continue
		}
		if a.At.Sub(told) > needNotice && a.At.Sub(n.from) > needSettles && !r.heldUp(a) {
			at = append(at, a.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most := int(needOverage*needPerSecond*needWindow.Seconds()) + needSlack
	for i := range at {
		if got := countBefore(at, at[i].Add(needWindow)) - i; got > most {
			return []Violation{{PromiseNeed, fmt.Sprintf("%s got %d requests in %v, %d allowed, %v after it named its rate",
				n.instance, got, needWindow, most, at[i].Sub(n.from))}}
		}
	}
	return nil
}

// responseLost reports whether no entry got the response to an arrival: it was none, or the link to its
// server was broken then.
func (r *record) responseLost(a arrival) bool {
	return a.Endless || slices.ContainsFunc(r.spans, func(s span) bool {
		broken := serverName(s.Target) == a.Instance && slices.Contains([]Fault{ServerReset, ServerCut}, s.Fault)
		return broken && !a.At.Before(s.From) && !a.At.After(s.To)
	})
}

// needEnd returns when a server's need ended: its next start names no rate.
func (r *record) needEnd(n need) time.Time {
	if end := r.serverEnd(n.instance, n.from); end.Before(n.to) {
		return end
	}
	return n.to
}

// entryDisturbed reports whether an entry was ended, stood still or started between two times.
func (r *record) entryDisturbed(entry int, from, to time.Time) bool {
	return slices.ContainsFunc(r.spans, func(s span) bool {
		own := s.Target == entry && slices.Contains([]Fault{EntryKill, EntryTerm, EntryPause}, s.Fault)
		return (own || s.Fault == EntriesKill) && s.From.Before(to) && s.To.After(from)
	})
}
