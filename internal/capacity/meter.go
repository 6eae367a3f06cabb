package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// minTime is how long a piece of work is repeated for at least.
const minTime = 200 * time.Millisecond

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// each returns the time that one run of work takes, repeated for long enough.
func each(clock clockwork.Clock, work func()) time.Duration {
	work()
	began := clock.Now()
	n := 0
	for clock.Since(began) < minTime {
		work()
		n++
	}
	return clock.Since(began) / time.Duration(n)
}

// heldBytes returns how much memory the result of build holds.
func heldBytes[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return held, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
