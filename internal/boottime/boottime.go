// Package boottime provides a monotonic clock that includes the time during which
// the VM is suspended.
//
// Go's monotonic clock stops during a suspension, so a VM that was suspended for a
// minute would take data from before the suspension to be only seconds old. The
// wall clock includes the suspension, but it can jump. CLOCK_BOOTTIME includes the
// suspension and doesn't jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the VM booted. Instants of different VMs can't be compared.
type Instant time.Duration

// Clock returns the current Instant. Tests replace it.
type Clock func() Instant

// Now returns the current Instant of this VM.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on kernels without CLOCK_BOOTTIME, which Go doesn't support.
		panic("boottime: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Sub returns the duration i-u.
func (i Instant) Sub(u Instant) time.Duration { return time.Duration(i - u) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
