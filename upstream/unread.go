package upstream

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unreadCheckDelay is the time after which the kernel no longer watches over a peer that
	// hasn't acknowledged a whole body. It must come before unackedTimeout.
	unreadCheckDelay = unackedTimeout / 2
	// unreadCheckInterval is the time between two checks of such a peer.
	unreadCheckInterval = 100 * time.Millisecond
	// probeAnswerInterval is the shortest time between two answers of a peer's kernel to probes
	// (Linux, tcp_invalid_ratelimit).
	probeAnswerInterval = 500 * time.Millisecond
	// unansweredProbeTimeout is how long a peer that takes no data may be silent. The time between
	// probes doubles, so that one without an answer makes up to three intervals of silence. The
	// kernel's timers may be late.
	unansweredProbeTimeout = 3*probeAnswerInterval + unreadCheckInterval
	// silentChecks is how many checks in a row must find the peer silent. An answer may be on its
	// way during one of them.
	silentChecks = 2
)

// watchUnread closes the connection of a peer that has disappeared before it has read a whole body,
// and keeps that of one that reads it late. The kernel's own timeout can't tell them apart: it also
// ends a connection whose peer answers each probe, but has no room for more. The watch ends with
// the connection, or when the body is acknowledged.
func watchUnread(c *net.TCPConn) {
	silent := 0
	for info, err := tcpInfo(c); err == nil; info, err = tcpInfo(c) {
		if info.Unacked == 0 && info.Notsent_bytes == 0 {
			setUserTimeout(c, unackedTimeout)
			return
		}
		setUserTimeout(c, 0)
		if !isSilent(info) {
			silent = 0
		} else if silent++; silent == silentChecks {
			_ = c.Close()
			return
		}
		time.Sleep(unreadCheckInterval)
	}
}

// isSilent reports whether a peer has left data without an answer for unackedTimeout, or probes for
// unansweredProbeTimeout.
func isSilent(info *unix.TCPInfo) bool {
	silence := time.Duration(info.Last_ack_recv) * time.Millisecond
	if info.Unacked > 0 && info.Retransmits > 0 {
		return silence >= unackedTimeout
	}
	return info.Probes > 0 && silence >= unansweredProbeTimeout
}

// tcpInfo returns the kernel's state of a connection.
func tcpInfo(c *net.TCPConn) (info *unix.TCPInfo, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}

// setUserTimeout sets how long the kernel keeps a connection whose peer doesn't take data; 0: the
// kernel's default, some 15 minutes. Errors are ignored: the request's own timeout still applies.
func setUserTimeout(c *net.TCPConn, timeout time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
