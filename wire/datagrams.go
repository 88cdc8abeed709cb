package wire

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/internal/quiet"
	"github.com/briarturn/briarturn/wire/wirepb"
)

const (
	// MaxDatagramBytes is the maximum size of a datagram, sent or received.
	// With its headers such a datagram fits the smallest common MTU, so that
	// it is not fragmented: one lost fragment loses the whole datagram.
	MaxDatagramBytes = 1200
	// UDPHeaderBytes is the size of the IPv4 and UDP headers, which the byte
	// counters add to each datagram.
	UDPHeaderBytes = 28
)

// readBufferBytes is large enough for any UDP datagram, so that an oversize one
// is read in full and counted instead of being truncated.
const readBufferBytes = 64 << 10

// DatagramHandler is called for each datagram that passed Check. It runs on the
// event loop of the socket and must not block.
type DatagramHandler func(from netip.AddrPort, m *wirepb.Datagram)

// DatagramConfig configures Datagrams.
type DatagramConfig struct {
	// Address is the ip:port to bind. Port 0 selects an unused port.
	Address string
	Handler DatagramHandler
	Log     logrus.FieldLogger // nil: no logging
	Metrics metrics.Registry   // nil: a private registry
	// Fault, if set, is called before each datagram is sent. Tests use it to
	// drop, duplicate and delay datagrams.
	Fault DatagramFault
}

// DatagramFault returns how many copies of one datagram are sent, 0 to drop it,
// and after which delay. It must be safe for concurrent use.
type DatagramFault func() (copies int, delay time.Duration)

// Datagrams is a UDP endpoint on a gnet event loop. Send is safe for concurrent
// use.
type Datagrams struct {
	engine     gnet.Engine
	sendSocket net.PacketConn // a second descriptor of the engine's socket, for Send
	addr       netip.AddrPort
	counters   datagramCounters
	fault      DatagramFault
	runResult  chan error
	closeOnce  sync.Once
}

// bindMu is held while a port is chosen and bound, so that no two endpoints of
// this process choose the same port.
var bindMu sync.Mutex

// unusedAddress returns the address with a port that no other socket is bound
// to; it replaces port 0 by an unused port. It returns an error if another
// socket is bound to the address. gnet binds datagram sockets with port sharing:
// the kernel could give the same port to two processes, or bind both to the port
// in their settings, and would distribute the received datagrams between them.
// Each process would then receive some of its datagrams or none, without an
// error.
func unusedAddress(address string) (string, error) {
	probe, err := net.ListenPacket("udp", address)
	if err != nil {
		return "", errors.Trace(err)
	}
	bound := probe.LocalAddr().String()
	return bound, errors.Trace(probe.Close())
}

// ListenDatagrams binds the address and starts to call the handler. It returns an
// error if another socket is bound to the address.
func ListenDatagrams(cfg DatagramConfig) (*Datagrams, error) {
	if cfg.Log == nil {
		cfg.Log = quiet.Logger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if _, err := netip.ParseAddrPort(cfg.Address); err != nil {
		return nil, errors.Annotatef(err, "step bind datagrams, address %q", cfg.Address)
	}
	bindMu.Lock()
	defer bindMu.Unlock()
	address, err := unusedAddress(cfg.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "step bind datagrams, address %s", cfg.Address)
	}
	d := &Datagrams{counters: newDatagramCounters(cfg.Metrics), fault: cfg.Fault, runResult: make(chan error, 1)}
	events := &eventHandler{handler: cfg.Handler, counters: d.counters, booted: make(chan gnet.Engine, 1)}
	go func() {
		d.runResult <- gnet.Run(events, "udp://"+address,
			gnet.WithLogger(gnetLogger{cfg.Log}),
			gnet.WithReadBufferCap(readBufferBytes))
	}()
	select {
	case d.engine = <-events.booted:
	case err := <-d.runResult:
		return nil, errors.Annotatef(err, "step bind datagrams, address %s", cfg.Address)
	}
	if err := d.openSendSocket(); err != nil {
		d.Close()
		return nil, errors.Annotatef(err, "step open sending socket, address %s", cfg.Address)
	}
	return d, nil
}

// openSendSocket duplicates the engine's socket, because gnet sends only from its
// event callbacks and has no call that returns the bound port.
func (d *Datagrams) openSendSocket() error {
	fd, err := d.engine.Dup()
	if err != nil {
		return errors.Trace(err)
	}
	file := os.NewFile(uintptr(fd), "datagrams")
	defer file.Close()
	d.sendSocket, err = net.FilePacketConn(file)
	if err != nil {
		return errors.Trace(err)
	}
	d.addr, err = netip.ParseAddrPort(d.sendSocket.LocalAddr().String())
	return errors.Trace(err)
}

// Addr returns the bound ip:port.
func (d *Datagrams) Addr() netip.AddrPort { return d.addr }

// Send sends one datagram. It checks the message first, so that an invalid
// message is detected by its sender. It returns ErrUndecodable or ErrOutOfBounds
// for an invalid message, ErrOversize for a message that is too long, and
// otherwise errors of encoding or of the network. A nil error doesn't mean that
// the datagram arrived.
func (d *Datagrams) Send(to netip.AddrPort, m *wirepb.Datagram) error {
	if err := Check(m); err != nil {
		return errors.Annotatef(err, "step send datagram, peer %s", to)
	}
	buf, err := proto.Marshal(m)
	if err != nil {
		return errors.Annotatef(err, "step encode datagram, peer %s", to)
	}
	if len(buf) > MaxDatagramBytes {
		return errors.Annotatef(ErrOversize, "step send datagram, peer %s, %d bytes", to, len(buf))
	}
	if d.fault == nil {
		return d.write(to, buf)
	}
	copies, delay := d.fault()
	for range copies {
		// The error is dropped: Send has returned when a delayed datagram is sent.
		time.AfterFunc(delay, func() { _ = d.write(to, buf) })
	}
	return nil
}

func (d *Datagrams) write(to netip.AddrPort, buf []byte) error {
	if _, err := d.sendSocket.WriteTo(buf, net.UDPAddrFromAddrPort(to)); err != nil {
		d.counters.sendErrors.Inc(1)
		return errors.Annotatef(err, "step send datagram, peer %s", to)
	}
	d.counters.out.Inc(1)
	d.counters.bytesOut.Inc(int64(len(buf) + UDPHeaderBytes))
	return nil
}

// Close stops the endpoint. It must not be called from the handler.
func (d *Datagrams) Close() error {
	var err error
	d.closeOnce.Do(func() {
		if d.sendSocket != nil {
			d.sendSocket.Close()
		}
		// The context is canceled so that Stop requests the stop and doesn't
		// wait for it: Stop polls for the end of the engine twice a second,
		// while runResult reports it immediately.
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		if err = d.engine.Stop(canceled); err == nil || errors.Is(err, context.Canceled) {
			err = <-d.runResult
		}
	})
	return errors.Annotate(err, "step close datagrams")
}

// eventHandler handles the events of the gnet engine.
type eventHandler struct {
	gnet.BuiltinEventEngine
	handler  DatagramHandler
	counters datagramCounters
	booted   chan gnet.Engine
}

// OnBoot implements gnet.EventHandler.
func (e *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	e.booted <- engine
	return gnet.None
}

// OnTraffic implements gnet.EventHandler. It is called once per datagram.
func (e *eventHandler) OnTraffic(c gnet.Conn) gnet.Action {
	buf, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	e.counters.in.Inc(1)
	e.counters.bytesIn.Inc(int64(len(buf) + UDPHeaderBytes))
	m, err := Decode(buf)
	if err != nil {
		e.counters.countRejected(err)
		return gnet.None
	}
	from, ok := c.RemoteAddr().(*net.UDPAddr)
	if !ok {
		return gnet.None
	}
	addr := from.AddrPort()
	e.handler(netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), m)
	return gnet.None
}

// datagramCounters holds the metrics of an endpoint.
type datagramCounters struct {
	in, out, bytesIn, bytesOut         metrics.Counter
	undecodable, oversize, outOfBounds metrics.Counter
	sendErrors                         metrics.Counter
}

func newDatagramCounters(r metrics.Registry) datagramCounters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("wire.datagrams."+name, r)
	}
	return datagramCounters{
		in:          counter("in"),
		out:         counter("out"),
		bytesIn:     counter("bytes_in"),
		bytesOut:    counter("bytes_out"),
		undecodable: counter("undecodable"),
		oversize:    counter("oversize"),
		outOfBounds: counter("out_of_bounds"),
		sendErrors:  counter("send_errors"),
	}
}

// countRejected counts a datagram that Decode rejected with err.
func (c datagramCounters) countRejected(err error) {
	switch {
	case errors.Is(err, ErrOversize):
		c.oversize.Inc(1)
	case errors.Is(err, ErrOutOfBounds):
		c.outOfBounds.Inc(1)
	default:
		c.undecodable.Inc(1)
	}
}

// gnetLogger forwards gnet's log lines to logrus. gnet's info lines report its own
// start and stop, which are not state changes of this system, so they are logged
// at debug level.
type gnetLogger struct{ log logrus.FieldLogger }

func (l gnetLogger) Debugf(format string, args ...any) { l.log.Debugf("gnet: "+format, args...) }
func (l gnetLogger) Infof(format string, args ...any)  { l.log.Debugf("gnet: "+format, args...) }
func (l gnetLogger) Warnf(format string, args ...any)  { l.log.Warnf("gnet: "+format, args...) }
func (l gnetLogger) Errorf(format string, args ...any) { l.log.Errorf("gnet: "+format, args...) }

// Fatalf logs at error level, because a library must not end the process.
func (l gnetLogger) Fatalf(format string, args ...any) { l.log.Errorf("gnet: "+format, args...) }
