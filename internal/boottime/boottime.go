// Package boottime is a clock that goes on while the VM is suspended.
//
// Go's monotonic clock stands still during a suspension, so a VM that was frozen
// for a minute would take what it learned before for seconds old. The time of day
// counts the suspension but jumps. CLOCK_BOOTTIME does neither.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the VM booted. Instants of two VMs can't be compared.
type Instant time.Duration

// Clock returns the present Instant. Tests put their own in its place.
type Clock func() Instant

// Now is the Clock of this VM.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without the clock fails here, and none that Go supports.
		panic("boottime: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Sub returns how long after u the instant is.
func (i Instant) Sub(u Instant) time.Duration { return time.Duration(i - u) }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
