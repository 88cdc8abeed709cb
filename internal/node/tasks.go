package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/graceful"
	"github.com/briarturn/briarturn/wire"
)

// closeTimeout bounds how long Close waits for an HTTP server's connections.
const closeTimeout = 2 * time.Second

// tasks owns the goroutines of a node.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	log    logrus.FieldLogger
}

func newTasks(log logrus.FieldLogger) *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel, log: log}
}

// run starts f, which must return when its context ends. An error of a task
// that ends by itself is logged: the node goes on without it, and readiness or
// the counters of that part show it.
func (t *tasks) run(step string, f func(ctx context.Context) error) {
	t.wg.Go(func() {
		if err := f(t.ctx); err != nil && t.ctx.Err() == nil {
			t.log.WithError(err).WithField("step", step).Error("task ended")
		}
	})
}

// every calls f once a period until the node closes.
func (t *tasks) every(step string, period time.Duration, f func(now time.Time)) {
	t.run(step, func(ctx context.Context) error {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				f(now)
			case <-ctx.Done():
				return nil
			}
		}
	})
}

// stop ends all tasks and waits for them.
func (t *tasks) stop() {
	t.cancel()
	t.wg.Wait()
}

// serveHTTP is serveCallers for a server whose callers may ask again after a connection
// that was closed: they are refused nothing.
func (t *tasks) serveHTTP(step, address string, srv *http.Server) (string, error) {
	return t.serveCallers(step, address, graceful.New(graceful.Config{HTTP: srv, Log: t.log}))
}

// serveCallers listens on address and serves until the node closes, which waits until
// every caller has an answer and has closed its connections, for closeTimeout at most.
// It returns the bound address.
func (t *tasks) serveCallers(step, address string, srv *graceful.Server) (string, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Annotatef(err, "step %s, address %s", step, address)
	}
	t.run(step, func(ctx context.Context) error {
		closed := make(chan struct{})
		stop := context.AfterFunc(ctx, func() {
			defer close(closed)
			t.closeHTTP(step, srv)
		})
		if err := srv.Serve(lis); err != nil {
			stop()
			return errors.Trace(err)
		}
		// Serve returns when closing begins.
		<-closed
		return nil
	})
	return lis.Addr().String(), nil
}

// serveAdmin is serveHTTP for the admin interface; without an address it serves
// none.
func (t *tasks) serveAdmin(address string, c admin.Config) (string, error) {
	if address == "" {
		return "", nil
	}
	return t.serveHTTP("serve admin", address, admin.NewServer(c))
}

// serveRPC serves drpc services on a listener, which it closes, until the node
// closes.
func (t *tasks) serveRPC(lis net.Listener, services wire.Services, r metrics.Registry) error {
	server, err := wire.NewServer(services, wire.Options{Log: t.log, Metrics: r})
	if err != nil {
		_ = lis.Close()
		return errors.Trace(err)
	}
	t.run("serve drpc", func(ctx context.Context) error { return server.Serve(ctx, lis) })
	return nil
}

// closeHTTP ends a server: callers that are still connected are told.
func (t *tasks) closeHTTP(step string, srv *graceful.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		t.log.WithError(err).WithField("step", step).Warn("connections cut")
	}
}
