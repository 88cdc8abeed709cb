package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/platform/standin"
)

// Servers answer with bytes that are no answer and have no end.
const (
	// endlessEvery is the time between two servers that begin to do so, endlessLasts how long
	// one does.
	endlessEvery = 6 * time.Second
	endlessLasts = 1500 * time.Millisecond
)

// endlessSteps are the servers whose responses have no end. They are drawn apart, so that a
// seed's other steps are the same with and without them.
func endlessSteps(seed uint64, lasts time.Duration, servers int) []Step {
	r := rand.New(rand.NewPCG(seed, 9))
	var out []Step
	for at := calmStart + time.Duration(r.Int64N(int64(endlessEvery))); at < lasts; at += endlessEvery {
		out = append(out, Step{At: at, For: endlessLasts, Fault: ServerEndless, Target: r.IntN(servers)})
	}
	return out
}

// sendsWithoutEnd has a server answer with bytes without end for a while.
func (b *breaker) sendsWithoutEnd(s *serverProcess, d time.Duration) error {
	err := s.ask(standin.PathEndless, fmt.Sprintf("ms=%d", d.Milliseconds()))
	time.Sleep(d)
	return err
}

func (r *record) sentWithoutEnd(a standin.ReceivedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endless = append(r.endless, a)
}

// judgeEndless finds responses without end of which an entry took all that the server sent.
func (r *record) judgeEndless() []Violation {
	var out []Violation
	for _, a := range r.endless {
		if a.SentWithoutEnd >= standin.EndlessBytes {
			out = append(out, Violation{PromiseEndless, fmt.Sprintf("%d bytes of %s were taken for %s", a.SentWithoutEnd, a.Instance, a.ID)})
		}
	}
	return out
}
