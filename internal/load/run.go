package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/sleep"
	"github.com/briarturn/briarturn/request"
)

// ErrOptions means that the options of a run make no sense.
const ErrOptions = errors.ConstError("invalid load options")

const (
	defaultInFlight  = 20_000
	progressInterval = time.Second
	verifyAtOnce     = 4 // long prompts laid out at a time, 4 MB each
)

// Options say what to send where.
type Options struct {
	// Targets are base URLs; arrivals go to them in turn.
	Targets []string
	Mix     *Mix
	Rate    float64 // arrivals/s
	For     time.Duration
	Seed    uint64
	// Only leaves a part of the mix out. The rest keeps its times.
	Only Subset
	// Direct leaves plain services out: the targets are engines.
	Direct bool
	// InFlight bounds open requests; beyond it an arrival counts as unsent.
	// Zero means 20,000.
	InFlight int
	// Salt makes prompts and keys unique to the run. Zero draws one.
	Salt uint64
	// Fleet, if set, gives Report.LongIdeal.
	Fleet Fleet
	// Progress gets a line a second, overwritten in place. Nil for none; give
	// it a terminal only.
	Progress io.Writer
}

func (o *Options) check() error {
	switch {
	case len(o.Targets) == 0:
		return errors.Annotate(ErrOptions, "no target")
	case o.Mix == nil:
		return errors.Annotate(ErrOptions, "no mix")
	case !(o.Rate > 0) || o.For <= 0:
		return errors.Annotate(ErrOptions, "rate and duration must be above 0")
	}
	if err := o.Mix.Validate(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(o.Only.check(o.Mix))
}

// Subset is a part of a mix. The zero value is all of it.
type Subset struct {
	// Short keeps the requests under 4k tokens and the service calls.
	Short bool `json:"short,omitempty"`
	// Workspaces, if any, are the ones to keep.
	Workspaces []string `json:"workspaces,omitempty"`
}

func (s *Subset) has(a *arrival, workspace string) bool {
	if s.Short && a.length() != request.ClassShort {
		return false
	}
	return len(s.Workspaces) == 0 || slices.Contains(s.Workspaces, workspace)
}

func (s *Subset) check(m *Mix) error {
	for _, name := range s.Workspaces {
		if !slices.ContainsFunc(m.Workspaces, func(w WorkspaceShare) bool { return w.Name == name }) {
			return errors.Annotatef(ErrOptions, "workspace %q is not in mix %s", name, m.Name)
		}
	}
	return nil
}

// wants reports whether the run sends an arrival of the schedule.
func (o *Options) wants(a *arrival) bool {
	if o.Direct && a.service() {
		return false
	}
	return o.Only.has(a, o.Mix.Workspaces[a.workspace].Name)
}

// Run sends the load and waits until each request has ended, which is at the
// latest when its time limit and a short grace are over. A cancelled ctx ends
// it early with an error. Errors match ErrOptions or ErrMix for bad input.
func Run(ctx context.Context, o Options) (*Report, error) {
	r, err := newRunner(o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	stop := r.showProgress()
	r.send(ctx)
	r.pending.Wait()
	stop()
	r.client.http.CloseIdleConnections()
	if err := ctx.Err(); err != nil {
		return nil, errors.Annotate(err, "step load")
	}
	return r.report(), nil
}

func newRunner(o Options) (*runner, error) {
	if err := o.check(); err != nil {
		return nil, errors.Trace(err)
	}
	inFlight := o.InFlight
	if inFlight <= 0 {
		inFlight = defaultInFlight
	}
	filler() // takes some milliseconds, which the first request shouldn't pay
	return &runner{
		options:  o,
		recorder: newRecorder(o.Mix, o.For, o.Fleet),
		slots:    make(chan struct{}, inFlight),
		client:   newClient(&o, inFlight),
	}, nil
}

func newClient(o *Options, conns int) *client {
	targets := make([]string, len(o.Targets))
	for i, t := range o.Targets {
		if !strings.Contains(t, "://") {
			t = "http://" + t
		}
		targets[i] = strings.TrimSuffix(t, "/")
	}
	salt := o.Salt
	if salt == 0 {
		salt = rand.Uint64()
	}
	return &client{
		http:      newHTTPClient(conns),
		targets:   targets,
		mix:       o.Mix,
		salt:      salt,
		start:     time.Now(),
		verifying: make(chan struct{}, verifyAtOnce),
	}
}

type runner struct {
	options  Options
	client   *client
	recorder *recorder
	slots    chan struct{} // one for each request in flight
	pending  sync.WaitGroup
}

// send walks the schedule. It never waits for an answer.
func (r *runner) send(ctx context.Context) {
	o := &r.options
	s := newSchedule(o.Mix, o.Rate, o.For, o.Seed)
	for a, ok := s.next(); ok; a, ok = s.next() {
		if !o.wants(&a) {
			continue
		}
		if !sleep.For(ctx, time.Until(r.client.start.Add(a.at))) {
			return
		}
		r.launch(ctx, a)
	}
}

func (r *runner) launch(ctx context.Context, a arrival) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.add(&a, &outcome{status: StatusUnsent})
		return
	}
	r.pending.Go(func() {
		out := r.client.do(ctx, &a)
		<-r.slots
		r.recorder.add(&a, &out)
	})
}

func (r *runner) report() *Report {
	o := &r.options
	rep := r.recorder.report(o.Mix)
	rep.Targets, rep.Seed, rep.Rate, rep.For = o.Targets, o.Seed, o.Rate, o.For
	rep.Only = o.Only
	rep.Elapsed = time.Since(r.client.start)
	return rep
}

// showProgress starts the progress line; the function that it returns ends it.
func (r *runner) showProgress() (stop func()) {
	w := r.options.Progress
	if w == nil {
		return func() {}
	}
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				fmt.Fprint(w, "\r\x1b[K")
				return
			case <-tick.C:
				ends, finished := r.recorder.progress()
				fmt.Fprintf(w, "\r\x1b[K%v of %v: %d ended, %d finished, %d in flight",
					time.Since(r.client.start).Round(time.Second), r.options.For, ends, finished, len(r.slots))
			}
		}
	})
	return func() {
		close(done)
		ended.Wait()
	}
}
