package entry

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/request"
)

// Ready reports whether the load balancer may send new requests to this entry.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining
}

// Drain makes the entry not ready, refuses new requests and waits until the
// requests in progress have ended. It returns early, with an error, only if
// ctx ends.
//
// Readiness is turned off first and the listener stays open: requests that the
// load balancer still sends are refused with not_run and Retry-After. With a
// closed listener a caller could not determine whether its request ran.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	if !e.draining {
		e.draining = true
		e.log.WithField("running", e.inProgress.Load()).Info("draining")
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
		return errors.Annotatef(ctx.Err(), "step drain, %d requests in progress", e.inProgress.Load())
	}
}

// beginRequest counts a request as in progress, or refuses it if the entry is
// draining or at its limit.
func (e *Entry) beginRequest() (leave func(), f *request.Failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return nil, drainingFailure()
	}
	if e.inProgress.Load() >= e.limits.MaxInProgress {
		return nil, notRun(http.StatusServiceUnavailable, reasonBusy, "admission",
			"this entry has as many requests as it takes; ask another", retryElsewhere)
	}
	e.inFlight.Add(1)
	e.inProgress.Add(1)
	return func() {
		e.inProgress.Add(-1)
		e.inFlight.Done()
	}, nil
}

// RefuseDraining refuses a request that arrives after the drain with the same
// response as one that arrives during it.
func (e *Entry) RefuseDraining(w http.ResponseWriter) { writeFailure(w, drainingFailure(), "") }

func drainingFailure() *request.Failure {
	return notRun(http.StatusServiceUnavailable, reasonDraining, "admission",
		"this entry is shutting down; ask another", retryElsewhere)
}
