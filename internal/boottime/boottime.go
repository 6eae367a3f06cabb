package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns an elapsed time that never jumps and that includes the time in which the VM was suspended.
type Clock interface {
	Elapsed() time.Duration
}

// System is the kernel's CLOCK_BOOTTIME.
type System struct{}

// Elapsed implements Clock.
func (System) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock; should it fail, the latest possible time is the safe result for a lease.
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(t.Nano())
}
