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
	// MaxDatagramBytes is the longest datagram sent or accepted. It stays
	// under the smallest usual MTU with its headers, so that none is cut into
	// fragments of which one lost loses all.
	MaxDatagramBytes = 1200
	// UDPHeaderBytes are the IPv4 and UDP headers that the byte counters add to
	// each datagram.
	UDPHeaderBytes = 28
)

// datagramReadBuffer holds any UDP datagram, so that an oversize one is seen
// whole and counted instead of being cut.
const datagramReadBuffer = 64 << 10

// DatagramHandler is told of each datagram that passed Check. It runs on the socket's
// event loop and must not block.
type DatagramHandler func(from netip.AddrPort, m *wirepb.Datagram)

// DatagramConfig configures Datagrams.
type DatagramConfig struct {
	// Address is the ip:port to bind. Port 0 takes a free one.
	Address string
	Handler DatagramHandler
	Log     logrus.FieldLogger // nil: silent
	Metrics metrics.Registry   // nil: a registry of its own
	// Fault, if set, is asked about each datagram that is about to be sent. It
	// is for tests of lost, doubled and late datagrams.
	Fault DatagramFault
}

// DatagramFault says what becomes of one datagram: how many copies are sent, 0
// for a lost one, and how much later. It is called from many goroutines.
type DatagramFault func() (copies int, delay time.Duration)

// Datagrams is a UDP endpoint run by gnet. Send is safe for concurrent use.
type Datagrams struct {
	engine gnet.Engine
	socket net.PacketConn // a second descriptor of the engine's socket, for Send
	addr   netip.AddrPort
	counts datagramCounts
	fault  DatagramFault
	done   chan error
	close  sync.Once
}

// binding is held while a port is chosen and bound.
var binding sync.Mutex

// freePort returns the address with a port that nobody is bound to, or an error if
// somebody is. gnet binds datagram sockets so that they share ports: the kernel would
// give one port to two processes, or bind both to the one in their settings, and deal
// out among them what either is sent. Each then hears a part or nothing, and nobody
// sees an error.
func freePort(address string) (string, error) {
	alone, err := net.ListenPacket("udp", address)
	if err != nil {
		return "", errors.Trace(err)
	}
	free := alone.LocalAddr().String()
	return free, errors.Trace(alone.Close())
}

// ListenDatagrams binds the address and begins to call the handler. It is an error if
// another socket is bound to it.
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
	binding.Lock()
	defer binding.Unlock()
	address, err := freePort(cfg.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "step bind datagrams, address %s", cfg.Address)
	}
	d := &Datagrams{counts: newDatagramCounts(cfg.Metrics), fault: cfg.Fault, done: make(chan error, 1)}
	events := &datagramEvents{handler: cfg.Handler, counts: d.counts, boot: make(chan gnet.Engine, 1)}
	go func() {
		d.done <- gnet.Run(events, "udp://"+address,
			gnet.WithLogger(gnetLog{cfg.Log}),
			gnet.WithReadBufferCap(datagramReadBuffer))
	}()
	select {
	case d.engine = <-events.boot:
	case err := <-d.done:
		return nil, errors.Annotatef(err, "step bind datagrams, address %s", cfg.Address)
	}
	if err := d.openSocket(); err != nil {
		d.Close()
		return nil, errors.Annotatef(err, "step open sending socket, address %s", cfg.Address)
	}
	return d, nil
}

// openSocket duplicates the engine's socket: gnet sends only from its event
// callbacks and has no call for the port that was bound.
func (d *Datagrams) openSocket() error {
	fd, err := d.engine.Dup()
	if err != nil {
		return errors.Trace(err)
	}
	file := os.NewFile(uintptr(fd), "datagrams")
	defer file.Close()
	d.socket, err = net.FilePacketConn(file)
	if err != nil {
		return errors.Trace(err)
	}
	d.addr, err = netip.ParseAddrPort(d.socket.LocalAddr().String())
	return errors.Trace(err)
}

// Addr returns the bound ip:port.
func (d *Datagrams) Addr() netip.AddrPort { return d.addr }

// Send sends one datagram. It checks what it sends, so that a bad message shows
// at its source. An error other than ErrOversize or ErrOutOfBounds is the network's;
// no error doesn't mean that it arrived.
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
		// A late datagram has no caller left to tell of an error.
		time.AfterFunc(delay, func() { _ = d.write(to, buf) })
	}
	return nil
}

func (d *Datagrams) write(to netip.AddrPort, buf []byte) error {
	if _, err := d.socket.WriteTo(buf, net.UDPAddrFromAddrPort(to)); err != nil {
		d.counts.sendErrors.Inc(1)
		return errors.Annotatef(err, "step send datagram, peer %s", to)
	}
	d.counts.out.Inc(1)
	d.counts.bytesOut.Inc(int64(len(buf) + UDPHeaderBytes))
	return nil
}

// Close stops the endpoint. It must not be called from the handler.
func (d *Datagrams) Close() error {
	var err error
	d.close.Do(func() {
		if d.socket != nil {
			d.socket.Close()
		}
		// Stop only polls, twice a second, for what the end of Run tells at once.
		noWait, cancel := context.WithCancel(context.Background())
		cancel()
		if err = d.engine.Stop(noWait); err == nil || errors.Is(err, context.Canceled) {
			err = <-d.done
		}
	})
	return errors.Annotate(err, "step close datagrams")
}

// datagramEvents receives gnet's events.
type datagramEvents struct {
	gnet.BuiltinEventEngine
	handler DatagramHandler
	counts  datagramCounts
	boot    chan gnet.Engine
}

// OnBoot implements gnet.EventHandler.
func (e *datagramEvents) OnBoot(engine gnet.Engine) gnet.Action {
	e.boot <- engine
	return gnet.None
}

// OnTraffic implements gnet.EventHandler. It is called once a datagram.
func (e *datagramEvents) OnTraffic(c gnet.Conn) gnet.Action {
	buf, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	e.counts.in.Inc(1)
	e.counts.bytesIn.Inc(int64(len(buf) + UDPHeaderBytes))
	m, err := Decode(buf)
	if err != nil {
		e.counts.refused(err)
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

// datagramCounts are the endpoint's counters.
type datagramCounts struct {
	in, out, bytesIn, bytesOut    metrics.Counter
	undecodable, oversize, bounds metrics.Counter
	sendErrors                    metrics.Counter
}

func newDatagramCounts(r metrics.Registry) datagramCounts {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("wire.datagrams."+name, r)
	}
	return datagramCounts{
		in:          counter("in"),
		out:         counter("out"),
		bytesIn:     counter("bytes_in"),
		bytesOut:    counter("bytes_out"),
		undecodable: counter("undecodable"),
		oversize:    counter("oversize"),
		bounds:      counter("out_of_bounds"),
		sendErrors:  counter("send_errors"),
	}
}

// refused counts a datagram that Decode refused.
func (c datagramCounts) refused(err error) {
	switch {
	case errors.Is(err, ErrOversize):
		c.oversize.Inc(1)
	case errors.Is(err, ErrOutOfBounds):
		c.bounds.Inc(1)
	default:
		c.undecodable.Inc(1)
	}
}

// gnetLog hands gnet's log lines to logrus. gnet's chatter about its start and
// stop is no change of state of ours, so it goes a level down.
type gnetLog struct{ log logrus.FieldLogger }

func (l gnetLog) Debugf(format string, args ...any) { l.log.Debugf("gnet: "+format, args...) }
func (l gnetLog) Infof(format string, args ...any)  { l.log.Debugf("gnet: "+format, args...) }
func (l gnetLog) Warnf(format string, args ...any)  { l.log.Warnf("gnet: "+format, args...) }
func (l gnetLog) Errorf(format string, args ...any) { l.log.Errorf("gnet: "+format, args...) }

// Fatalf logs an error: a library must not end the process.
func (l gnetLog) Fatalf(format string, args ...any) { l.log.Errorf("gnet: "+format, args...) }
