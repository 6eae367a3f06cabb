package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// minMeasureTime is the shortest time for which work is repeated to measure it.
const minMeasureTime = 200 * time.Millisecond

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// timePerRun returns the mean time of one run of work, after a warm-up run.
func timePerRun(clock clockwork.Clock, work func()) time.Duration {
	work()
	start := clock.Now()
	runs := 0
	for clock.Since(start) < minMeasureTime {
		work()
		runs++
	}
	return clock.Since(start) / time.Duration(runs)
}

// heapGrowth returns the result of build and the heap bytes that it occupies.
func heapGrowth[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return result, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
