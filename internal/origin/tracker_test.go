package origin

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// All VMs lose power while two releases are in service, or right after the runners of one of them have left. Streams must be taken up at
// the release that began them, and those of which nothing is known at none.
func TestOriginsOutlastAllVMs(t *testing.T) {
	for name, left := range map[string][]string{"both releases": {"v1", "v2"}, "one left": {"v2"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(3, "v1", "v2")
				time.Sleep(time.Second)
				for i := range 60 {
					release := fmt.Sprint("v", i%2+1)
					s.vms[i%3].tracker.RecordStart(fmt.Sprint("stream-", i), s.runner(release))
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(200 * time.Millisecond)
				s.vms[1].tracker.RecordStart("unreported", s.runner("v1"))
				s.setReleases(left...)
				s.end()
				time.Sleep(time.Second)
				restarted := s.addVM()
				defer restarted.stop()
				for i := range 60 {
					require.Equal(t, known(fmt.Sprint("v", i%2+1)), restarted.lookup(fmt.Sprint("stream-", i)))
				}
				require.Equal(t, Origin{}, restarted.lookup("unreported"))
				require.Equal(t, Origin{}, restarted.lookup("never begun"))
			})
		})
	}
}

// A caller may take up a stream at another VM before its start has been reported, and of streams that began before there was a second
// release.
func TestOtherVMsLearnOfOrigins(t *testing.T) {
	for _, unlinked := range []bool{false, true} {
		t.Run(fmt.Sprint("unlinked ", unlinked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(3, "v1")
				s.vms[1].unlinked.Store(unlinked)
				time.Sleep(memory)
				s.vms[1].tracker.RecordStart("before", s.runner("v1"))
				time.Sleep(time.Second)
				s.setReleases("v1", "v2")
				time.Sleep(100 * time.Millisecond)
				s.vms[1].tracker.RecordStart("after", s.runner("v2"))
				require.Equal(t, known("v2"), s.vms[2].lookup("after"))
				require.Equal(t, known("v1"), s.vms[2].lookup("before"))
				s.end()
			})
		})
	}
}

// While a service has one release, streams may go on anywhere, and the log is not used, except by a VM that has just started.
func TestSingleReleaseNeedsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(2, "v1")
		for i := range 100 {
			s.vms[0].tracker.RecordStart(fmt.Sprint("stream-", i), s.runner("v1"))
			require.Equal(t, single("v1"), s.vms[1].lookup(fmt.Sprint("stream-", i)))
			time.Sleep(memory / 100)
		}
		reads, appends := s.log.calls()
		require.Equal(t, 2, reads, "one read by each VM as it starts")
		require.Zero(t, appends)
		require.Equal(t, known("v1"), s.vms[0].lookup("stream-99"))
		s.end()
	})
}

// Once no stream of the time with several releases can be taken up any more, any runner suits again.
func TestMixOfReleasesEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(1, "v1", "v2")
		time.Sleep(time.Second)
		s.setReleases("v2")
		time.Sleep(memory - time.Second)
		require.Equal(t, Origin{}, s.vms[0].lookup("unknown"))
		time.Sleep(2 * time.Second)
		require.Equal(t, single("v2"), s.vms[0].lookup("unknown"))
		s.end()
	})
}

// A release may replace another at once, so that no VM ever sees both.
func TestReplacedReleaseIsNoSingleOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(2, "v1")
		time.Sleep(memory)
		s.vms[0].tracker.RecordStart("stream", s.runner("v1"))
		s.setReleases("v2")
		require.Equal(t, Origin{}, s.vms[1].lookup("unknown"))
		require.Equal(t, known("v1"), s.vms[1].lookup("stream"))
		s.end()
	})
}

// A VM that learns of no new runners can't know whether others use another release.
func TestVMThatIsCutOffKnowsOnlyItsOwnStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(1, "v1")
		time.Sleep(memory)
		s.vms[0].tracker.RecordStart("own", s.runner("v1"))
		s.vms[0].cut.Store(true)
		s.log.update(func(l *memoryLog) { l.down = true })
		require.Equal(t, Origin{}, s.vms[0].lookup("other"))
		require.Equal(t, known("v1"), s.vms[0].lookup("own"))
		s.end()
	})
}

func TestFailedReportsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(2, "v1", "v2")
		time.Sleep(time.Second)
		s.log.update(func(l *memoryLog) { l.down = true })
		s.vms[1].tracker.RecordStart("stream", s.runner("v1"))
		time.Sleep(2 * time.Second)
		s.log.update(func(l *memoryLog) { l.down = false })
		time.Sleep(time.Second)
		s.end()
		restarted := s.addVM()
		defer restarted.stop()
		require.Equal(t, known("v1"), restarted.lookup("stream"))
	})
}

// The log may be away for longer than a few seconds, and what is reported meanwhile is bounded by the streams that may be taken up.
func TestReportsOutlastLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(3, "v1", "v2")
		time.Sleep(time.Second)
		s.log.update(func(l *memoryLog) { l.down = true })
		s.vms[1].tracker.RecordStart("forgotten", s.runner("v1"))
		time.Sleep(memory)
		s.vms[1].tracker.RecordStart("stream", s.runner("v1"))
		for range 3 * maxPendingBatches {
			s.vms[0].tracker.Receive([]Batch{{
				Service: "models",
				Release: "v2",
				At:      time.Now().UnixMilli(),
				Keys:    make([]byte, keyBytes),
			}})
			time.Sleep(time.Millisecond)
		}
		pending := s.vms[0].tracker
		pending.mu.Lock()
		require.LessOrEqual(t, len(pending.received), 2*maxPendingBatches)
		pending.mu.Unlock()
		s.log.update(func(l *memoryLog) { l.down = false })
		time.Sleep(time.Second)
		s.vms[1].stop()
		require.Equal(t, known("v1"), s.vms[2].lookup("stream"))
		require.Equal(t, Origin{}, s.vms[2].lookup("forgotten"))
		s.end()
	})
}

// The lease holder may end, or lose the store, with reports that it has not appended.
func TestReportsOutlastHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(3, "v1", "v2")
		time.Sleep(time.Second)
		s.log.update(func(l *memoryLog) { l.down = true })
		s.vms[1].tracker.RecordStart("stream", s.runner("v1"))
		time.Sleep(appendInterval)
		s.vms[0].stop()
		s.log.update(func(l *memoryLog) { l.down = false })
		require.Equal(t, Origin{}, s.vms[2].lookup("stream"))
		for _, v := range s.vms[1:] {
			v.holder.Store(s.vms[2])
			v.links.Add(1)
		}
		require.Equal(t, known("v1"), s.vms[2].lookup("stream"))
		s.end()
	})
}

// After the log was restored from a copy, it is read anew.
func TestRestoredLogIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(2, "v1", "v2")
		time.Sleep(time.Second)
		s.vms[0].tracker.RecordStart("first", s.runner("v1"))
		require.Equal(t, known("v1"), s.vms[1].lookup("first"))
		s.log.update(func(l *memoryLog) {
			l.era++
			l.records = nil
		})
		s.vms[0].tracker.RecordStart("second", s.runner("v2"))
		require.Equal(t, known("v2"), s.vms[1].lookup("second"))
		s.end()
	})
}

// Callers that take up streams of which nothing is known must not bring all VMs together beyond the rate of the log.
func TestLookupsKeepWithinRateOfLog(t *testing.T) {
	for _, vms := range []int{9, 340} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(0, "v1", "v2")
				s.count = vms
				s.addVM()
				time.Sleep(time.Second)
				started := time.Now()
				var callers sync.WaitGroup
				for i := range 200 {
					callers.Go(func() {
						for j := range 20 {
							require.Equal(t, Origin{}, s.vms[0].lookup(fmt.Sprint("unknown-", i, "-", j)))
						}
					})
				}
				callers.Wait()
				reads, _ := s.log.calls()
				require.LessOrEqual(t, float64(reads*vms), 400*time.Since(started).Seconds(), "400 reads a second by all VMs")
				s.end()
			})
		})
	}
}

// Hundreds of VMs report what began before there was a second release; no record of the log may grow with that.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(1, "v1")
		time.Sleep(memory)
		const streams = 200_000
		for i := range streams {
			s.vms[0].tracker.RecordStart(fmt.Sprint("stream-", i), s.runner("v1"))
		}
		s.setReleases("v1", "v2")
		time.Sleep(time.Second)
		s.end()
		bytes := 0
		for _, record := range s.log.records {
			require.LessOrEqual(t, len(record.Payload), 64<<10)
			bytes += len(record.Payload)
		}
		require.Greater(t, bytes, streams*keyBytes)
	})
}

// The index forgets what is older than two terms, and holds no more than two generations.
func TestIndexIsBounded(t *testing.T) {
	i := newIndex(time.Second)
	now := time.Now()
	i.add(1, begun{release: "v1"}, now)
	i.add(1, begun{release: "v2"}, now)
	b, _ := i.get(1)
	require.Equal(t, "v1", b.release, "the release that began a stream stays")
	for k := range key(3 * maxEntries) {
		i.add(k+2, begun{release: "v1"}, now)
	}
	require.LessOrEqual(t, len(i.newer)+len(i.older), 2*maxEntries)
	_, ok := i.get(1)
	require.False(t, ok)
}
