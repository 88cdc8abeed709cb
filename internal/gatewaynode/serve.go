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

// readyAge is how old the proof of the configuration may be while the balancer is
// told to send callers here: three fifths of the five seconds in which a removed key
// has to be refused.
const readyAge = 3 * time.Second

// ConnLimits bound a caller's connection.
type ConnLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// serve binds the addresses and starts the servers for callers, the balancer and
// operators.
func (n *Node) serve() error {
	callers, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return errors.Annotatef(err, "step listen for callers, address %s", n.cfg.Listen)
	}
	ready, err := net.Listen("tcp", n.cfg.ReadyListen)
	if err != nil {
		_ = callers.Close() // nothing was accepted on it
		return errors.Annotatef(err, "step listen for readiness, address %s", n.cfg.ReadyListen)
	}
	n.address, n.readyAddress = callers.Addr().String(), ready.Addr().String()
	n.callers = n.callersServer()
	n.ready = &http.Server{Handler: http.HandlerFunc(n.answerReady), ReadHeaderTimeout: n.cfg.Conns.HeaderTimeout}
	go n.serveCallers(callers)
	go n.run(n.ready, ready)
	n.serveOperators()
	return nil
}

// callersServer returns the server for callers, which refuses at its end as the
// gateway does.
func (n *Node) callersServer() *graceful.Server {
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

// serveOperators serves metrics and health. Their port is the same on every VM and
// may be taken on one: callers are served without metrics rather than not at all,
// and the line tells why a scraper finds nothing.
func (n *Node) serveOperators() {
	n.admin = admin.NewServer(admin.Config{Status: n, Ready: n, Metrics: n.cfg.Metrics})
	lis, err := net.Listen("tcp", n.cfg.AdminListen)
	if err != nil {
		err = errors.Annotatef(err, "step listen for operators, address %s", n.cfg.AdminListen)
		n.cfg.Log.WithError(err).Error("no metrics are served")
		return
	}
	go n.run(n.admin, lis)
}

// Address returns where callers are served, with the port that was bound.
func (n *Node) Address() string { return n.address }

// ReadyAddress returns where the balancer asks, with the port that was bound.
func (n *Node) ReadyAddress() string { return n.readyAddress }

func (n *Node) run(s *http.Server, lis net.Listener) {
	if err := s.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		n.cfg.Log.WithError(err).WithField("address", lis.Addr().String()).Error("server ended")
	}
}

// answerReady tells the balancer whether to send callers here.
func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if n.Ready() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Ready returns nil if the node knows a configuration that was proved current a
// short time ago, knows the backend servers, and isn't ending; else the reason.
func (n *Node) Ready() error {
	_, age, ok := n.routes.Table()
	switch {
	case !ok:
		return errors.New("no configuration yet")
	case age >= readyAge:
		return errors.Errorf("configuration was last proved current %v ago", age)
	case !n.listed.Load():
		return errors.New("backend servers not listed yet")
	case !n.knowsZones():
		return errors.New("evacuated zones not listed yet")
	case n.gateway.ShuttingDown():
		return errors.New("shutting down")
	}
	return nil
}
