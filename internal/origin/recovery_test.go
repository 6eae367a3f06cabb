package origin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Streams that began in the seconds that a restored log lost must be known to all VMs again, also those of a VM that has ended since.
func TestStreamsLostByRestoredLogAreKnownAgain(t *testing.T) {
	for name, c := range map[string]struct {
		// copied is how many of the streams began before the log was copied.
		copied int
		// ended are the VMs that end before it is restored; holder is the lease holder after that.
		ended  []int
		holder int
		// left reports that the runners of one release have left before the log is restored.
		left bool
	}{
		"recent copy":         {copied: 40},
		"copy without any":    {},
		"other VM has ended":  {copied: 10, ended: []int{2}},
		"release has left":    {copied: 10, left: true},
		"holder has changed":  {copied: 10, ended: []int{0}, holder: 1},
		"most VMs have ended": {copied: 10, ended: []int{2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(4, "v1", "v2")
				time.Sleep(time.Second)
				copied := 0
				begin := func(from, to int) {
					for i := from; i < to; i++ {
						release := fmt.Sprint("v", i%2+1)
						// The lease holder, which may end, begins none.
						s.vms[1+i%3].tracker.RecordStart(fmt.Sprint("stream-", i), s.runner(release))
						time.Sleep(50 * time.Millisecond)
					}
				}
				begin(0, c.copied)
				if c.copied > 0 {
					time.Sleep(200 * time.Millisecond)
					copied = s.log.length()
				}
				begin(c.copied, 60)
				time.Sleep(200 * time.Millisecond)
				for _, i := range c.ended {
					s.vms[i].stop()
				}
				if c.holder != 0 {
					for _, v := range s.vms[1:] {
						v.holder.Store(s.vms[c.holder])
						v.links.Add(1)
					}
				}
				if c.left {
					s.setReleases("v2")
					time.Sleep(time.Second)
				}
				s.log.update(func(l *memoryLog) { l.down = true })
				time.Sleep(300 * time.Millisecond)
				s.log.restore(copied)
				s.log.update(func(l *memoryLog) { l.down = false })
				time.Sleep(recoveryTime)
				fresh := s.addVM()
				fresh.holder.Store(s.vms[c.holder])
				for i := range 60 {
					require.Equal(t, known(fmt.Sprint("v", i%2+1)), fresh.lookup(fmt.Sprint("stream-", i)), "stream %d", i)
				}
				require.Equal(t, Origin{}, fresh.lookup("never begun"))
				s.end()
			})
		})
	}
}

// A caller may take up a stream right after the log was restored, before any other VM has reported it again.
func TestLookupAwaitsStreamsThatRestoredLogLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(3, "v1", "v2")
		time.Sleep(time.Second)
		s.vms[1].tracker.RecordStart("stream", s.runner("v1"))
		time.Sleep(time.Second)
		s.log.restore(0)
		require.Equal(t, known("v1"), s.vms[2].lookup("stream"))
		require.Equal(t, Origin{}, s.vms[2].lookup("never begun"))
		s.end()
	})
}

// The log may be restored again before what it lost the first time is there, also while appends are under way.
func TestStreamsOutlastRestoresInSeries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(3, "v1", "v2")
		time.Sleep(time.Second)
		for i := range 100 {
			s.vms[i%3].tracker.RecordStart(fmt.Sprint("stream-", i), s.runner(fmt.Sprint("v", i%2+1)))
			time.Sleep(37 * time.Millisecond)
			if i%7 == 6 {
				s.log.restore(s.log.length() * (i % 3) / 3)
			}
		}
		time.Sleep(recoveryTime)
		fresh := s.addVM()
		for i := range 100 {
			require.Equal(t, known(fmt.Sprint("v", i%2+1)), fresh.lookup(fmt.Sprint("stream-", i)), "stream %d", i)
		}
		s.end()
	})
}

// A VM that finds that the log goes back without stating an era reports what it began again.
func TestStreamsLostWithoutEraAreKnownAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(0, "v1", "v2")
		s.log.update(func(l *memoryLog) { l.era = 0 })
		s.addVM()
		s.addVM()
		time.Sleep(time.Second)
		s.vms[1].tracker.RecordStart("stream", s.runner("v1"))
		require.Equal(t, Origin{}, s.vms[1].lookup("never begun"))
		s.log.update(func(l *memoryLog) { l.records = nil })
		require.Equal(t, Origin{}, s.vms[1].lookup("never begun"))
		fresh := s.addVM()
		require.Equal(t, known("v1"), fresh.lookup("stream"))
		s.end()
	})
}

// At full size, a restored log costs a bounded number of appends, at a rate that leaves room for other writers.
func TestRecoveryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			vms = 4
			// streams begin at 13,000 a second for as long as they may be taken up.
			streams    = 13_000 * 30
			steps      = 300
			writeLimit = 400
		)
		s := newSystem(0, "v1", "v2")
		s.count = 340
		for range vms {
			s.addVM()
		}
		s.vms[0].keeper.Store(s.vms[1])
		time.Sleep(time.Second)
		for step := range steps {
			for i := range streams / steps {
				n := step*streams/steps + i
				s.vms[i%vms].tracker.RecordStart(fmt.Sprint("stream-", n), s.runner("v1"))
			}
			time.Sleep(memory / steps)
		}
		_, before := s.log.calls()
		s.log.restore(0)
		var busiest int
		for range int(recoveryTime / (100 * time.Millisecond)) {
			_, begun := s.log.calls()
			time.Sleep(100 * time.Millisecond)
			_, ended := s.log.calls()
			busiest = max(busiest, ended-begun)
		}
		_, after := s.log.calls()
		require.LessOrEqual(t, busiest, writeLimit*2/3/10, "appends in 0.1 s; a third of the rate is left to others")
		bytes := 0
		s.log.update(func(l *memoryLog) {
			for _, record := range l.records {
				bytes += len(record.Payload)
			}
		})
		require.Less(t, bytes, 3*streams*keyBytes)
		require.Less(t, after-before, 3*streams*keyBytes/maxRecordBytes+100)
		time.Sleep(memory)
		require.Zero(t, s.vms[0].tracker.unlogged.length(), "what was lost is forgotten in time")
		s.end()
	})
}

// The lease holder, which has appended all streams, may be lost with the seconds that a restored log lost, or shortly before.
func TestStreamsOutlastHolderAndRestoredLog(t *testing.T) {
	for name, c := range map[string]struct {
		// successorTime is for how long another VM holds the lease before the log is away.
		successorTime time.Duration
		// keeper is the number of the VM that keeps streams for the holder, if keeps is set.
		keeper int
		keeps  bool
	}{
		"holder lost before":                      {successorTime: time.Second},
		"holder lost at once, kept by successor":  {keeper: 1, keeps: true},
		"holder lost at once, kept by another VM": {keeper: 2, keeps: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(4, "v1", "v2")
				if c.keeps {
					s.vms[0].keeper.Store(s.vms[c.keeper])
				}
				time.Sleep(time.Second)
				for i := range 40 {
					s.vms[i%4].tracker.RecordStart(fmt.Sprint("stream-", i), s.runner(fmt.Sprint("v", i%2+1)))
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(200 * time.Millisecond)
				changeHolder := func() {
					s.vms[0].stop()
					s.vms[3].stop()
					for _, v := range s.vms[1:] {
						v.holder.Store(s.vms[1])
						v.links.Add(1)
					}
				}
				if c.successorTime > 0 {
					changeHolder()
					time.Sleep(c.successorTime)
				}
				s.log.update(func(l *memoryLog) { l.down = true })
				time.Sleep(300 * time.Millisecond)
				if c.successorTime == 0 {
					changeHolder()
				}
				s.log.restore(0)
				s.log.update(func(l *memoryLog) { l.down = false })
				time.Sleep(recoveryTime)
				fresh := s.addVM()
				fresh.holder.Store(s.vms[1])
				for i := range 40 {
					require.Equal(t, known(fmt.Sprint("v", i%2+1)), fresh.lookup(fmt.Sprint("stream-", i)), "stream %d", i)
				}
				s.end()
			})
		})
	}
}

// All VMs end as the log comes back from a copy that has neither the streams of the second release nor its registrations. A VM that starts must
// not take the service for one of a single release before the runners have registered again.
func TestVMAfterRestoreAwaitsRegistrations(t *testing.T) {
	for name, left := range map[string][]string{"both releases": {"v1", "v2"}, "a single release": {"v1"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(2, left...)
				time.Sleep(time.Second)
				s.vms[1].tracker.RecordStart("stream", s.runner(left[len(left)-1]))
				time.Sleep(time.Second)
				s.end()
				s.log.restore(0)
				s.logRestored = true
				s.setReleases("v1")
				started := s.addVM()
				require.Equal(t, Origin{}, started.lookup("stream"))
				s.setReleases(left...)
				time.Sleep(renewalTime)
				if len(left) == 1 {
					require.Equal(t, single("v1"), started.lookup("stream"))
				} else {
					require.Equal(t, Origin{}, started.lookup("stream"))
				}
				s.end()
			})
		})
	}
}

// A VM stands still while runners of a second release join, streams begin at them, and the log comes back from a copy of before. All other VMs
// have ended, so nobody can tell it.
func TestVMThatStoodStillThroughRestoreAwaitsRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(2, "v1")
		time.Sleep(memory)
		still := s.vms[1]
		still.unlinked.Store(true)
		still.outdated.Store(s.roster.View())
		s.setReleases("v1", "v2")
		time.Sleep(idleInterval)
		s.vms[0].tracker.RecordStart("stream", s.runner("v2"))
		time.Sleep(idleInterval)
		s.vms[0].stop()
		s.log.restore(0)
		s.setReleases("v1")
		still.suspended.Add(int64(2 * maxObserveGap))
		require.Equal(t, Origin{}, still.lookup("stream"))
		s.end()
	})
}

func (i *index) length() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.newer) + len(i.older)
}
