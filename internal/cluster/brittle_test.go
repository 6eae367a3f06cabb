package cluster_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/brittle"
)

// fakeBrittleness implements cluster.BrittlenessKeeper with a board. A test sets stated to what runners state to the VM.
type fakeBrittleness struct {
	brittleMu     sync.Mutex
	board         *brittle.Board
	stated        int
	brittleFrames int
}

// brittleness returns the board; the caller holds the lock.
func (f *fakeBrittleness) brittleness() *brittle.Board {
	if f.board == nil {
		f.board = brittle.New()
	}
	return f.board
}

func (f *fakeBrittleness) BrittlenessReceived() brittle.Statements {
	f.brittleMu.Lock()
	defer f.brittleMu.Unlock()
	if f.stated > 0 {
		f.brittleness().RecordAnswer(brittle.Answer{
			Service:   "s",
			Runner:    "r1",
			Tolerance: f.stated,
		}, func() float64 { return 0 }, time.Now())
	}
	return f.brittleness().Received(time.Now())
}

func (f *fakeBrittleness) Brittleness() brittle.Statements {
	f.brittleMu.Lock()
	defer f.brittleMu.Unlock()
	return f.brittleness().Known(time.Now())
}

func (f *fakeBrittleness) ReceiveBrittleness(statements brittle.Statements) {
	f.brittleMu.Lock()
	defer f.brittleMu.Unlock()
	f.brittleFrames++
	f.brittleness().Apply(statements, time.Now())
}

func (f *fakeBrittleness) knownTolerance() int { return f.Brittleness()["s"].Tolerance }

func (f *fakeBrittleness) setStated(tolerance int) {
	f.brittleMu.Lock()
	defer f.brittleMu.Unlock()
	f.stated = tolerance
}

// What runners state to one VM must reach the lease holder with its usage report, and from there the VMs that don't hear from runners.
func TestBrittlenessIsShared(t *testing.T) {
	p := newPair(t)
	runAggregator(t, p)
	p.other.setStated(3)
	require.Eventually(t, func() bool { return p.holder.knownTolerance() == 3 }, waitTimeout, pollInterval)
	p.other.setStated(0)
	p.holder.brittleMu.Lock()
	p.holder.board.RecordAnswer(brittle.Answer{
		Service:   "s",
		Runner:    "r1",
		Tolerance: 5,
	}, func() float64 { return 0 }, time.Now())
	p.holder.brittleMu.Unlock()
	require.Eventually(t, func() bool { return p.other.knownTolerance() == 5 }, waitTimeout, pollInterval)
}

// While no runner states a limit, VMs must exchange nothing on that.
func TestNoBrittlenessIsSentWithoutStatements(t *testing.T) {
	p := newPair(t)
	runAggregator(t, p)
	time.Sleep(time.Second)
	for _, vm := range []*fakeVM{p.holder, p.other} {
		vm.brittleMu.Lock()
		require.Zero(t, vm.brittleFrames)
		vm.brittleMu.Unlock()
	}
}
