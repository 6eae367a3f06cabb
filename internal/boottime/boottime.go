package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells elapsed time that neither stands still while the VM is suspended nor jumps.
type Clock interface {
	Elapsed() time.Duration
}

// System is the clock of the kernel.
type System struct{}

// Elapsed implements Clock.
func (System) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every supported kernel; a later time is the safe answer for a lease.
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(t.Nano())
}
