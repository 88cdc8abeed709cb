package dev

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// fleets counts the fleets of this process.
var fleets atomic.Uint32

// ownLoopback returns the address, with a free port, that one fleet listens on.
// Each fleet has a loopback IP of its own: ports are reused at once, and where
// all fleets shared 127.0.0.1, reports of one that has ended would reach whoever
// got its port next. One would see servers that nobody started.
func ownLoopback() string {
	process := os.Getpid()
	ip := net.IPv4(127, byte(1+process>>8&0x7f), byte(process), byte(1+fleets.Add(1)%250))
	return net.JoinHostPort(ip.String(), strconv.Itoa(0))
}
