package origin

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Runners of a second release join while a VM is cut off or stands still, and streams that begin there are taken up at this VM before it
// has learned of them.
func TestVMOutOfStepFindsReleaseOfStream(t *testing.T) {
	for _, unlinked := range []bool{false, true} {
		t.Run(fmt.Sprint("unlinked ", unlinked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(2, "v1")
				time.Sleep(memory)
				outOfStep := s.vms[1]
				outOfStep.unlinked.Store(unlinked)
				outOfStep.outdated.Store(s.roster.View())
				s.setReleases("v1", "v2")
				time.Sleep(idleInterval)
				s.vms[0].tracker.RecordStart("stream", s.runner("v2"))
				require.Equal(t, known("v2"), outOfStep.lookup("stream"))
				require.Equal(t, Origin{}, outOfStep.lookup("unknown"))
				s.end()
			})
		})
	}
}

// Streams that a VM began while there was a single release are known to others even if it stands still, or is cut off, when runners of a
// second one join, and also if the lease holder changed since they began or is cut off as well.
func TestStreamsOfVMThatStandsStillAreKnown(t *testing.T) {
	for name, c := range map[string]struct {
		holderEnds bool
		holderCut  bool
	}{
		"same holder":    {},
		"other holder":   {holderEnds: true},
		"holder cut off": {holderCut: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(4, "v1")
				holder, still, keeper, other := s.vms[0], s.vms[1], s.vms[2], s.vms[3]
				time.Sleep(memory)
				if c.holderCut {
					holder.keeper.Store(keeper)
				}
				still.tracker.RecordStart("stream", s.runner("v1"))
				time.Sleep(2 * idleInterval)
				outOfStep := []*vm{still}
				switch {
				case c.holderEnds:
					holder.stop()
					for _, v := range s.vms[1:] {
						v.holder.Store(keeper)
						v.links.Add(1)
					}
					time.Sleep(2 * idleInterval)
				case c.holderCut:
					outOfStep = append(outOfStep, holder)
					keeper.unlinked.Store(true)
					other.unlinked.Store(true)
				}
				for _, v := range outOfStep {
					v.unlinked.Store(true)
					v.cut.Store(true)
					v.outdated.Store(s.roster.View())
				}
				s.setReleases("v1", "v2")
				time.Sleep(idleInterval)
				require.Equal(t, known("v1"), other.lookup("stream"))
				require.Equal(t, Origin{}, other.lookup("unknown"))
				s.end()
			})
		})
	}
}

// Runners of a second release join and leave while a VM stands still, so that it finds a single release before and afterwards.
func TestReleaseThatLeftWhileVMStoodStillCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(2, "v1")
		time.Sleep(memory)
		suspended := s.vms[1]
		suspended.unlinked.Store(true)
		suspended.outdated.Store(s.roster.View())
		s.setReleases("v1", "v2")
		time.Sleep(idleInterval)
		s.vms[0].tracker.RecordStart("stream", s.runner("v2"))
		time.Sleep(idleInterval)
		s.setReleases("v1")
		suspended.suspended.Add(int64(memory / 2))
		require.Equal(t, known("v2"), suspended.lookup("stream"))
		require.Equal(t, Origin{}, suspended.lookup("unknown"))
		s.end()
	})
}

// After the store was restored from a copy, it lacks runners that have not registered anew, but VMs know them.
func TestCensusCountsRunnersThatRestoredStoreLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(2, "v1")
		time.Sleep(memory)
		outOfStep := s.vms[1]
		outOfStep.outdated.Store(s.roster.View())
		s.setReleases("v1", "v2")
		s.vms[0].outdated.Store(s.roster.View())
		s.setReleases("v1")
		require.Equal(t, Origin{}, outOfStep.lookup("unknown"))
		s.end()
	})
}

// A VM that was in step goes on with streams of a single release while neither it nor the lease holder reads the store.
func TestSingleReleaseOutlastsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(2, "v1")
		time.Sleep(memory)
		s.log.update(func(l *memoryLog) { l.down = true })
		for i := range 10 {
			require.Equal(t, single("v1"), s.vms[1].lookup(fmt.Sprint("stream-", i)))
			time.Sleep(time.Second)
		}
		s.end()
	})
}

// When runners crash, callers take up many streams at once. They share a read of the registrations, and none waits for long.
func TestCallersShareCensus(t *testing.T) {
	for name, unlinked := range map[string]bool{"linked": false, "unlinked": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(4, "v1")
				time.Sleep(memory)
				for _, v := range s.vms[1:] {
					v.unlinked.Store(unlinked)
				}
				readsBefore := s.registrationReads.Load()
				var callers sync.WaitGroup
				for _, v := range s.vms {
					for i := range 100 {
						callers.Go(func() {
							time.Sleep(time.Duration(i) * time.Millisecond)
							started := time.Now()
							require.Equal(t, single("v1"), v.lookup(fmt.Sprint("stream-", i)))
							require.LessOrEqual(t, time.Since(started), 150*time.Millisecond)
						})
					}
				}
				callers.Wait()
				reads := s.registrationReads.Load() - readsBefore
				most := int64(4)
				if unlinked {
					most *= int64(len(s.vms))
				}
				require.LessOrEqual(t, reads, most)
				s.end()
			})
		})
	}
}
