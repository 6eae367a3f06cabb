package cluster_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/cluster"
	"github.com/cowsliparch/cowsliparch/internal/pacing"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// fakePaces implements cluster.PaceKeeper: tests set what it returns, and it records what it receives.
type fakePaces struct {
	pacesMu                         sync.Mutex
	seen, changed, known            pacing.Paces
	recordedPaces, receivedPaces    pacing.Paces
	recordedReports, receivedFrames int
}

func (f *fakePaces) TakeSeenPaces() pacing.Paces {
	f.pacesMu.Lock()
	defer f.pacesMu.Unlock()
	seen := f.seen
	f.seen = nil
	return seen
}

func (f *fakePaces) RecordPaces(seen pacing.Paces) {
	f.pacesMu.Lock()
	defer f.pacesMu.Unlock()
	f.recordedReports++
	f.recordedPaces = seen
}

func (f *fakePaces) TakeChangedPaces() pacing.Paces {
	f.pacesMu.Lock()
	defer f.pacesMu.Unlock()
	changed := f.changed
	f.changed = nil
	return changed
}

func (f *fakePaces) Paces() pacing.Paces {
	f.pacesMu.Lock()
	defer f.pacesMu.Unlock()
	return f.known
}

func (f *fakePaces) ReceivePaces(paces pacing.Paces) {
	f.pacesMu.Lock()
	defer f.pacesMu.Unlock()
	f.receivedFrames++
	if f.receivedPaces == nil {
		f.receivedPaces = make(pacing.Paces)
	}
	maps.Copy(f.receivedPaces, paces)
}

func (f *fakePaces) checkPaces(condition func(*fakePaces) bool) func() bool {
	return func() bool {
		f.pacesMu.Lock()
		defer f.pacesMu.Unlock()
		return condition(f)
	}
}

// runAggregator runs the holder's aggregator until the test ends.
func runAggregator(t *testing.T, p *pair) {
	t.Helper()
	aggregator := cluster.NewUsageAggregator(p.hub, p.holder, clockwork.NewRealClock())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = aggregator.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// What a VM sees must reach the holder with the usage report, and the holder's paces every VM: all on a new link, then the changes.
func TestPacesAreShared(t *testing.T) {
	p := newPairWith(t, func(holder, other *fakeVM) {
		holder.known = pacing.Paces{"r1": 60, "r2": 160}
		other.seen = pacing.Paces{"r1": 150}
	})
	require.Eventually(t, p.holder.checkPaces(func(f *fakePaces) bool { return f.recordedReports == 1 }), waitTimeout, pollInterval)
	require.Equal(t, pacing.Paces{"r1": 150}, p.holder.recordedPaces)
	runAggregator(t, p)
	require.Eventually(t, p.other.checkPaces(func(f *fakePaces) bool { return len(f.receivedPaces) == 2 }), waitTimeout, pollInterval)
	p.holder.pacesMu.Lock()
	p.holder.changed = pacing.Paces{"r2": 150}
	p.holder.pacesMu.Unlock()
	require.Eventually(t, p.other.checkPaces(func(f *fakePaces) bool {
		return maps.Equal(f.receivedPaces, pacing.Paces{"r1": 60, "r2": 150})
	}), waitTimeout, pollInterval)
	require.Equal(t, 1, p.holder.recordedReports, "reports without figures say nothing")
	require.Equal(t, 2, p.other.receivedFrames)
}

// Without a fourth figure, VMs must exchange no frame about paces.
func TestNoPacesAreSentWithoutFigures(t *testing.T) {
	p := newPair(t)
	p.other.update(func(v *fakeVM) { v.occupancy = roster.Occupancy{"r1": 1} })
	runAggregator(t, p)
	require.Eventually(t, p.other.check(func(v *fakeVM) bool { return v.totals != nil }), waitTimeout, pollInterval)
	require.True(t, p.other.checkPaces(func(f *fakePaces) bool { return f.receivedFrames == 0 })())
	require.True(t, p.holder.checkPaces(func(f *fakePaces) bool { return f.recordedReports == 0 })())
}

// A VM without the lease must neither record figures nor send paces, which may be older than those of the present holder. Once it gets
// the lease, it sends all, since a VM that was linked before may know none.
func TestOnlyHolderSharesPaces(t *testing.T) {
	p := newPairWith(t, func(holder, other *fakeVM) {
		holder.holdsLease = false
		holder.known = pacing.Paces{"r1": 60}
		other.seen = pacing.Paces{"r1": 150}
	})
	runAggregator(t, p)
	require.Eventually(t, p.other.checkPaces(func(f *fakePaces) bool { return f.seen == nil }), waitTimeout, pollInterval)
	time.Sleep(time.Second)
	require.True(t, p.other.checkPaces(func(f *fakePaces) bool { return f.receivedFrames == 0 })())
	require.True(t, p.holder.checkPaces(func(f *fakePaces) bool { return f.recordedReports == 0 })())
	p.holder.update(func(v *fakeVM) { v.holdsLease = true })
	require.Eventually(t, p.other.checkPaces(func(f *fakePaces) bool { return f.receivedFrames == 1 }), waitTimeout, pollInterval)
	require.Equal(t, pacing.Paces{"r1": 60}, p.other.receivedPaces)
}
