package entry

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/request"
)

// Ready reports whether the balancer may send new requests here.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining
}

// Drain turns readiness off, refuses new requests and waits until those in
// progress have ended. It returns early, with an error, only if ctx ends.
//
// Readiness goes first: a balancer that still sends requests meets a true
// not_run with Retry-After, where a closed listener would leave the caller to
// guess whether its request ran.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	if !e.draining {
		e.draining = true
		e.log.WithField("running", e.running.Load()).Info("draining")
	}
	e.mu.Unlock()

	done := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		e.log.Info("drained")
		return nil
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "step drain, %d requests in progress", e.running.Load())
	}
}

// enter counts a request in, or refuses it if the entry drains or is full.
func (e *Entry) enter() (leave func(), f *request.Failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return nil, drainingFailure()
	}
	if e.running.Load() >= e.limits.MaxInProgress {
		return nil, notRun(http.StatusServiceUnavailable, reasonBusy, "admission",
			"this entry has as many requests as it takes; ask another", retryElsewhere)
	}
	e.inFlight.Add(1)
	e.running.Add(1)
	return func() {
		e.running.Add(-1)
		e.inFlight.Done()
	}, nil
}

// RefuseDraining answers a request that came after the entry had drained, as one that
// comes while it drains.
func (e *Entry) RefuseDraining(w http.ResponseWriter) { writeFailure(w, drainingFailure(), "") }

func drainingFailure() *request.Failure {
	return notRun(http.StatusServiceUnavailable, reasonDraining, "admission",
		"this entry is shutting down; ask another", retryElsewhere)
}
