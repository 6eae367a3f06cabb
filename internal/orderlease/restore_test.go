package orderlease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orderlease"
)

// restore brings the stream back to a copy that ends at an offset, which begins a new era.
func (s *stream) restore(end logservice.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = s.records[:end-s.first]
	s.era++
	close(s.appended)
	s.appended = make(chan struct{})
}

// restoreWithoutEra does so without a new era.
func (s *stream) restoreWithoutEra(end logservice.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = s.records[:end-s.first]
}

// tenures checks the fencing tokens in use: each belongs to one VM, only one VM has one, and they rise.
type tenures struct {
	holders map[uint64]*vm
	highest uint64
	// heldAt is when a VM last held the lease.
	heldAt time.Time
}

// run advances the clock by a duration and checks the tokens all the while.
func (f *fixture) run(t *testing.T, d time.Duration, seen *tenures) {
	t.Helper()
	for started := f.clock.Now(); f.clock.Since(started) < d; {
		until := f.clock.Now().Add(10 * time.Millisecond)
		f.advanceUntil(t, func() bool { return !f.clock.Now().Before(until) })
		var holder *vm
		for _, v := range f.vms {
			token, ok := v.lease.Fence()
			if !ok {
				continue
			}
			require.Nil(t, holder, "two VMs hold the lease")
			holder = v
			if other, used := seen.holders[token]; used {
				require.Same(t, other, v, "two VMs have token %d", token)
			}
			require.GreaterOrEqual(t, token, seen.highest, "a lower token after a higher one")
			seen.holders[token], seen.highest, seen.heldAt = v, token, f.clock.Now()
		}
	}
}

// newEraFixture returns a fixture whose stream states its era, and the record of its tenures.
func newEraFixture(t *testing.T, vms int) (*fixture, *tenures) {
	t.Helper()
	f := newFixture(t, vms)
	f.stream.era = 1
	return f, &tenures{holders: make(map[uint64]*vm)}
}

// A stream that was restored from a copy gives offsets out again. The token of a tenure whose records were lost must not be used again.
func TestTokenOfLostTenureIsNotUsedAgain(t *testing.T) {
	f, seen := newEraFixture(t, 3)
	stop := f.start(t, f.vms[0])
	f.run(t, 5*time.Second, seen)
	stop()
	end := f.stream.end()
	stop = f.start(t, f.vms[1])
	f.run(t, 5*time.Second, seen)
	require.Len(t, seen.holders, 2)
	stop()
	f.stream.restore(end)
	f.start(t, f.vms[2])
	f.run(t, 2*term, seen)
	require.Len(t, seen.holders, 3)
}

// The VMs must read a restored stream anew: their read positions may lie beyond its end.
func TestHolderContinuesAfterRestore(t *testing.T) {
	for _, lost := range []logservice.Offset{0, 1, 4, 9} {
		t.Run(fmt.Sprint(lost, " lost"), func(t *testing.T) {
			f, seen := newEraFixture(t, 3)
			f.startAll(t)
			f.run(t, 12*time.Second, seen)
			holder := f.waitForHolder(t)
			f.stream.restore(f.stream.end() - lost)
			f.run(t, 2*time.Second, seen)
			require.Equal(t, []*vm{holder}, f.holders(), "no other VM can hold the lease while its term runs")
			require.Len(t, seen.holders, 2)
			f.run(t, 3*term, seen)
			require.Equal(t, []*vm{holder}, f.holders())
			require.Len(t, seen.holders, 2)
		})
	}
}

// Two restored copies in a row, the second at any moment after the first.
func TestHolderContinuesAfterTwoRestores(t *testing.T) {
	for gap := time.Duration(0); gap < 2*term; gap += 130 * time.Millisecond {
		t.Run(gap.String(), func(t *testing.T) {
			f, seen := newEraFixture(t, 3)
			f.startAll(t)
			f.run(t, 8*time.Second, seen)
			f.stream.restore(f.stream.end() - 3)
			f.run(t, gap, seen)
			f.stream.restore(f.stream.end() - 1)
			f.run(t, 2*term, seen)
			require.Len(t, f.holders(), 1)
		})
	}
}

// The holder's tenure may go on after its records are lost, so no other VM may claim the lease before its term has ended: the holder
// is cut off from the log, or ended, or suspended for a second, as the copy is restored.
func TestNoSecondHolderBesideLostTenure(t *testing.T) {
	troubles := map[string]func(f *fixture, stop func(), holder *vm, seen *tenures){
		"cut off": func(_ *fixture, _ func(), holder *vm, _ *tenures) { holder.log.setFaults(true, false) },
		"ended":   func(_ *fixture, stop func(), _ *vm, _ *tenures) { stop() },
		"suspended": func(f *fixture, stop func(), holder *vm, seen *tenures) {
			stop()
			f.run(t, time.Second, seen)
			f.start(t, holder)
		},
	}
	for name, trouble := range troubles {
		for phase := time.Duration(0); phase < term; phase += 170 * time.Millisecond {
			t.Run(fmt.Sprint(name, " ", phase), func(t *testing.T) {
				f, seen := newEraFixture(t, 4)
				stopFirst := f.start(t, f.vms[0])
				f.run(t, 4*time.Second, seen)
				end := f.stream.end()
				stopFirst()
				stop := f.start(t, f.vms[1])
				f.run(t, term+time.Second+phase, seen)
				require.Equal(t, []*vm{f.vms[1]}, f.holders())
				f.start(t, f.vms[2])
				f.run(t, 500*time.Millisecond, seen)
				f.stream.restore(end)
				restored := f.clock.Now()
				trouble(f, stop, f.vms[1], seen)
				f.start(t, f.vms[3])
				f.run(t, restored.Add(term+time.Second).Sub(f.clock.Now()), seen)
				require.Len(t, f.holders(), 1, "a holder within the time of a takeover")
				f.run(t, 2*term, seen)
				require.Len(t, f.holders(), 1)
			})
		}
	}
}

// What the restored copy says of the lease is outdated, also where it says that the lease is free: another VM may have claimed it since,
// and its term may still run.
func TestRestoredRecordsDoNotFreeLease(t *testing.T) {
	cases := map[string]struct {
		// leave ends the first tenure and returns the end of the stream in the copy.
		leave func(f *fixture, stop func()) logservice.Offset
		// successor starts after the copy was restored.
		successor func(f *fixture) *vm
	}{
		"released": {
			leave: func(f *fixture, stop func()) logservice.Offset {
				f.vms[0].lease.Release(t.Context())
				stop()
				return f.stream.end()
			},
			successor: func(f *fixture) *vm { return f.vms[2] },
		},
		"of a former run": {
			leave: func(f *fixture, stop func()) logservice.Offset {
				stop()
				return f.stream.end()
			},
			successor: func(f *fixture) *vm { return f.addVM(t, "vm-0", "address-0", "later run") },
		},
		"none": {
			leave: func(_ *fixture, stop func()) logservice.Offset {
				stop()
				return 0
			},
			successor: func(f *fixture) *vm { return f.vms[2] },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, seen := newEraFixture(t, 3)
			stop := f.start(t, f.vms[0])
			f.run(t, 2*term, seen)
			end := c.leave(f, stop)
			f.start(t, f.vms[1])
			f.run(t, 2*term, seen)
			require.Equal(t, []*vm{f.vms[1]}, f.holders())
			f.stream.restore(end)
			f.vms[1].log.setFaults(true, false)
			f.start(t, c.successor(f))
			f.run(t, term+time.Second, seen)
			require.Len(t, f.holders(), 1)
		})
	}
}

// A claim that its sender wrote in an earlier era arrives where the restored stream has grown to the offset that it expects. It must
// not take the lease from its holder.
func TestClaimOfEarlierEraHasNoEffect(t *testing.T) {
	f, seen := newEraFixture(t, 3)
	stop := f.start(t, f.vms[0])
	f.run(t, 12*time.Second, seen)
	stop()
	claimAt, _ := f.vms[0].lease.ReadPosition()
	f.stream.restore(f.stream.end() - 4)
	f.start(t, f.vms[1])
	f.start(t, f.vms[2])
	f.advanceUntil(t, func() bool { return len(f.holders()) == 1 && f.stream.end() == claimAt.Offset })
	holder := f.holders()[0]
	require.Error(t, f.vms[0].log.AppendAt(t.Context(), "OrderLease", claimAt, claimOf(t, "vm-0", 1)))
	f.run(t, 2*term, seen)
	require.Equal(t, []*vm{holder}, f.holders())
}

// claimOf returns the record of a claim that was written in an era.
func claimOf(t *testing.T, holder string, era logservice.Era) []byte {
	t.Helper()
	payload, err := cbor.Marshal(orderlease.Record{
		Holder:      holder,
		Incarnation: "late run",
		Era:         era,
	})
	require.NoError(t, err)
	return payload
}

// A stream that goes back without a new era must not be read or appended to in a loop without a pause.
func TestShortenedStreamNeedsFewCalls(t *testing.T) {
	f, seen := newEraFixture(t, 3)
	f.startAll(t)
	f.run(t, 10*time.Second, seen)
	f.stream.restoreWithoutEra(f.stream.end() - 4)
	reads, appends := f.stream.counts()
	f.run(t, 10*time.Second, seen)
	readsAfter, appendsAfter := f.stream.counts()
	require.Less(t, readsAfter-reads+appendsAfter-appends, 3*10*10, "ten calls a second for each VM")
}

// All VMs notice a restored copy in the same second, and most of them can only wait for the claim of one.
func TestRestoreNeedsFewCalls(t *testing.T) {
	for _, vms := range []int{9, 300} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			f, seen := newEraFixture(t, vms)
			f.startAll(t)
			f.waitForHolder(t)
			f.run(t, 2*time.Second, seen)
			reads, appends := f.stream.counts()
			f.stream.restore(f.stream.end() - 1)
			restored := f.clock.Now()
			f.run(t, 2*time.Second, seen)
			readsAfter, appendsAfter := f.stream.counts()
			require.Less(t, seen.heldAt.Sub(restored), 2*time.Second+time.Millisecond)
			require.Len(t, f.holders(), 1)
			t.Logf("%d reads and %d appends in 2 s", readsAfter-reads, appendsAfter-appends)
			require.LessOrEqual(t, readsAfter-reads, 6*vms, "the end of a wait, the stream from its start, and a read a record")
			require.LessOrEqual(t, appendsAfter-appends, 6)
		})
	}
}

// A VM that starts between the restore of the stream and the first claim after it must be able to tell.
func TestLeaseIsUnclaimedAfterRestore(t *testing.T) {
	f, seen := newEraFixture(t, 2)
	stop := f.start(t, f.vms[0])
	f.run(t, 5*time.Second, seen)
	require.False(t, f.vms[0].lease.Unclaimed())
	stop()
	f.stream.restore(f.stream.end() - 1)
	f.start(t, f.vms[1])
	f.run(t, term/2, seen)
	require.True(t, f.vms[1].lease.Unclaimed())
	f.run(t, 2*term, seen)
	require.Len(t, f.holders(), 1)
	require.False(t, f.vms[1].lease.Unclaimed())
	// A VM with a link learns of a tenure from heartbeats only.
	linked := f.vms[0].lease
	next, _ := f.vms[1].lease.ReadPosition()
	linked.HolderSeen(next, fence(f.vms[1]))
	require.False(t, linked.Unclaimed())
}
