package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// mode is what a link does with what goes over it.
type mode uint8

const (
	passes  mode = iota
	silent       // nothing arrives, in either direction; connections stay open
	resets       // connections are reset, new ones too
	delays       // what goes over it is late by linkDelay
	refuses      // new connections are closed at once, those that are open are reset
)

// linkDelay is how late what goes over a slow link is.
const linkDelay = 150 * time.Millisecond

// link is a loopback proxy of one peer's TCP connections. It is safe for concurrent use.
type link struct {
	target string
	at     string // its own address

	mu       sync.Mutex // guards what follows
	listener net.Listener
	mode     mode
	change   chan struct{} // closed when mode changes
	conns    map[net.Conn]struct{}
}

// newLink starts a proxy at an address before target, both IP:PORT.
func newLink(at, target string) (*link, error) {
	l := &link{target: target, at: at, change: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	if err := l.open(); err != nil {
		return nil, err // with a link that has no listener, the end of the run would fail too
	}
	return l, nil
}

// open takes connections, at first or after close.
func (l *link) open() error {
	listener, err := net.Listen("tcp", l.at)
	if err != nil {
		return errors.Annotatef(err, "step start proxy, peer %s", l.target)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	go l.accept(listener)
	return nil
}

// reopen is open for a link that may be open.
func (l *link) reopen() error {
	l.close()
	return l.open()
}

// close refuses connections, as the address of a process that is gone does, and resets
// those that are open.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close() // it is closed already
	l.resetLocked()
}

// set changes the mode. Connections that are open are reset by resets and refuses.
func (l *link) set(m mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.change)
	l.change = make(chan struct{})
	if m == resets || m == refuses {
		l.resetLocked()
	}
}

func (l *link) resetLocked() {
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close is then a reset
		}
		_ = c.Close()
	}
}

func (l *link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return // closed
		}
		go l.serve(c)
	}
}

func (l *link) serve(c net.Conn) {
	defer c.Close()
	if m, _ := l.now(); m == resets || m == refuses {
		return
	}
	peer, err := net.Dial("tcp", l.target)
	if err != nil {
		return // the caller sees a closed connection
	}
	defer peer.Close()
	l.keep(c, peer)
	defer l.forget(c, peer)
	var both sync.WaitGroup
	both.Go(func() { l.pass(peer, c) })
	both.Go(func() { l.pass(c, peer) })
	both.Wait()
}

func (l *link) now() (mode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.change
}

func (l *link) keep(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
}

func (l *link) forget(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}

// pass copies one direction until either end closes, and passes the close on.
func (l *link) pass(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.hold()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close() // the other direction ends with it
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			_ = to.Close() // as for a failed write
			return
		}
	}
}

// hold waits as the mode says: while it is silent, or once for a slow link.
func (l *link) hold() {
	for {
		m, changed := l.now()
		switch m {
		case silent:
			<-changed
			continue
		case delays:
			time.Sleep(linkDelay)
		}
		return
	}
}
