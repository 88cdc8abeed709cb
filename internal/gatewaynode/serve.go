package gatewaynode

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/gateway"
	"github.com/briarturn/briarturn/internal/admin"
	"github.com/briarturn/briarturn/internal/graceful"
)

const (
	// balancerTime is how long the load balancer takes at most to send no new connections to an
	// entry that isn't ready: it asks once a second, and two misses take the entry out.
	balancerTime = 2 * time.Second
	// readyAge is the age of the last confirmation of the configuration from which the node
	// reports itself as not ready, so that callers reach other entries before this one refuses
	// their keys.
	readyAge = gateway.DefaultKeyAge - balancerTime
)

// ConnLimits limit a caller's connection.
type ConnLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// serve binds the addresses and starts the servers for callers, the load balancer's
// readiness checks and operators.
func (n *Node) serve() error {
	callers, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return errors.Annotatef(err, "step listen for callers, address %s", n.cfg.Listen)
	}
	ready, err := net.Listen("tcp", n.cfg.ReadyListen)
	if err != nil {
		_ = callers.Close() // no connection was accepted
		return errors.Annotatef(err, "step listen for readiness, address %s", n.cfg.ReadyListen)
	}
	n.address, n.readyAddress = callers.Addr().String(), ready.Addr().String()
	n.callers = n.newCallerServer()
	n.ready = &http.Server{Handler: http.HandlerFunc(n.handleReady), ReadHeaderTimeout: n.cfg.Conns.HeaderTimeout}
	go n.serveCallers(callers)
	go n.serveHTTP(n.ready, ready)
	n.serveAdmin()
	return nil
}

// newCallerServer returns the server for callers. At shutdown it refuses requests with the
// same response as the gateway.
func (n *Node) newCallerServer() *graceful.Server {
	srv := &http.Server{
		Handler:           n.gateway,
		ReadHeaderTimeout: n.cfg.Conns.HeaderTimeout,
		IdleTimeout:       n.cfg.Conns.IdleTimeout,
		MaxHeaderBytes:    n.cfg.Conns.HeaderBytes,
	}
	countUnreadable(srv, n.cfg.Metrics)
	return graceful.New(graceful.Config{HTTP: srv, Refuse: gateway.RefuseShuttingDown, Log: n.cfg.Log})
}

func (n *Node) serveCallers(lis net.Listener) {
	if err := n.callers.Serve(lis); err != nil {
		n.cfg.Log.WithError(err).WithField("address", lis.Addr().String()).Error("server ended")
	}
}

// serveAdmin serves metrics, health and readiness to operators. Their port is the same on
// every VM and may be in use on one of them. The node then serves callers without metrics
// rather than not at all, and logs why a scraper can't connect.
func (n *Node) serveAdmin() {
	n.admin = admin.NewServer(admin.Config{Status: n, Ready: n, Parts: n, Metrics: n.cfg.Metrics})
	lis, err := net.Listen("tcp", n.cfg.AdminListen)
	if err != nil {
		err = errors.Annotatef(err, "step listen for operators, address %s", n.cfg.AdminListen)
		n.cfg.Log.WithError(err).Error("no metrics are served")
		return
	}
	go n.serveHTTP(n.admin, lis)
}

// Address returns the address for callers, with the bound port.
func (n *Node) Address() string { return n.address }

// ReadyAddress returns the address for the load balancer's readiness checks, with the
// bound port.
func (n *Node) ReadyAddress() string { return n.readyAddress }

func (n *Node) serveHTTP(s *http.Server, lis net.Listener) {
	if err := s.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		n.cfg.Log.WithError(err).WithField("address", lis.Addr().String()).Error("server ended")
	}
}

// handleReady responds to the load balancer with status 200 if the node is ready, else 503.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if n.Ready() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Ready returns nil if the node has a configuration that was confirmed less than readyAge
// ago, has listed the backend servers and the evacuated zones, and isn't shutting down;
// otherwise it returns the reason.
func (n *Node) Ready() error {
	_, age, ok := n.routes.Table()
	switch {
	case !ok:
		return errors.New("no configuration yet")
	case age >= readyAge:
		return errors.Errorf("configuration was last proved current %v ago", age)
	case !n.serversListed.Load():
		return errors.New("backend servers not listed yet")
	case !n.zonesListed():
		return errors.New("evacuated zones not listed yet")
	case n.gateway.ShuttingDown():
		return errors.New("shutting down")
	}
	return nil
}
