package soak

import (
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

const (
	loopback = "127.0.0.1"
	// portsFrom and portsTo bound the ports of processes, below those that the system gives
	// to connections.
	portsFrom, portsTo = 20_000, 32_000
	// blockPorts is how many one run has: six for each entry and two for each server.
	blockPorts = 1_000
)

// portBlock is the ports of one run. A process that is down for a while must get its own again;
// were they taken as they are free, another run's process would take them meanwhile, and
// callers would talk to that. So a run holds its block by its first port, which nothing else
// uses. It is safe for concurrent use.
type portBlock struct {
	held net.Listener

	mu   sync.Mutex // guards port
	port int        // the last one given
	end  int
}

// claimPorts takes a block that no other run holds.
func claimPorts() (*portBlock, error) {
	for first := portsFrom; first < portsTo; first += blockPorts {
		held, err := net.Listen("tcp", address(first))
		if err == nil {
			return &portBlock{held: held, port: first, end: first + blockPorts}, nil
		}
	}
	return nil, errors.Errorf("step claim ports: no block from %d to %d is free", portsFrom, portsTo)
}

func address(port int) string { return fmt.Sprintf("%s:%d", loopback, port) }

// next returns an address of the block that nothing is bound to.
func (b *portBlock) next() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.port++; b.port < b.end; b.port++ {
		if bindable(address(b.port)) {
			return address(b.port), nil
		}
	}
	return "", errors.Errorf("step find a port: all of the block are used")
}

func (b *portBlock) release() { _ = b.held.Close() }

// bindable reports whether connections and datagrams may be received there. No process may be
// started meanwhile: until it runs its program it holds a copy of each socket of this one, and
// what was tried here would still be bound when it is wanted.
func bindable(at string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", at)
	if err != nil {
		return false
	}
	_ = l.Close()
	c, err := net.ListenPacket("udp", at)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
