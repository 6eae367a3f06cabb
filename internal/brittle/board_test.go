package brittle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/brittle"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func never() float64  { return 0 }
func always() float64 { return 0.999 }

// stated returns a board that knows that the runners of service s tolerate some rejections.
func stated(tolerance int) *brittle.Board {
	b := brittle.New()
	b.Apply(brittle.Statements{"s": {Tolerance: tolerance}}, start)
	return b
}

func query(own, others int, at time.Time) brittle.Query {
	return brittle.Query{
		Service:   "s",
		Runner:    "r1",
		Slots:     24,
		VMs:       4,
		Own:       own,
		Others:    others,
		UpdatedAt: at,
		Urgent:    true,
	}
}

func hasRoom(b *brittle.Board, q brittle.Query, now time.Time) bool {
	ok, _ := b.HasRoom(q, never, now)
	return ok
}

// Without a statement nothing must be limited, and nothing be told to other VMs.
func TestSoundRunnersAreNotLimited(t *testing.T) {
	b := brittle.New()
	b.RecordAnswer(brittle.Answer{Service: "s", Runner: "r1", Rejected: true, VMs: 4}, always, start)
	require.True(t, hasRoom(b, query(100, 100, start), start))
	require.Nil(t, b.Received(start))
	require.Nil(t, b.Known(start))
}

// All VMs together must not send more than the runner has slots: each one adds its share of what is free.
func TestVMTakesItsShareOfFreeSlots(t *testing.T) {
	b := stated(3)
	require.True(t, hasRoom(b, query(0, 0, start), start))
	for own, want := range []bool{true, true, true, true, true, false, false} {
		require.Equal(t, want, hasRoom(b, query(own, 0, start), start.Add(50*time.Millisecond)), "with %d", own)
	}
	full := stated(3)
	require.False(t, hasRoom(full, query(0, 24, start), start))
	require.False(t, hasRoom(full, query(0, 30, start), start))
}

// Each VM must give up a part of what it has at an overfull runner.
func TestVMGivesUpShareOfExcess(t *testing.T) {
	b := stated(3)
	require.False(t, hasRoom(b, query(12, 36, start), start))
	require.True(t, hasRoom(b, query(4, 36, start), start.Add(100*time.Millisecond)))
	require.False(t, hasRoom(b, query(6, 36, start), start.Add(100*time.Millisecond)))
}

// The last slots are for urgent requests.
func TestOrdinaryRequestsLeaveSlotsToUrgentOnes(t *testing.T) {
	b := stated(3)
	q := query(0, 20, start)
	ok, _ := b.HasRoom(q, always, start)
	require.True(t, ok)
	q.Urgent = false
	require.False(t, hasRoom(b, q, start))
}

// A VM that hears from nobody has its part of the slots.
func TestVMWithoutFiguresHasFixedShare(t *testing.T) {
	b := stated(3)
	now := start.Add(5 * time.Second)
	require.True(t, hasRoom(b, query(4, 24, start), now))
	require.False(t, hasRoom(b, query(5, 0, start), now))
}

// After a rejection, a VM must send no more than what the runner has taken until all VMs together may cause another one.
func TestRejectionEndsGrowth(t *testing.T) {
	b := stated(2)
	require.True(t, hasRoom(b, query(3, 0, start), start))
	b.RecordAnswer(brittle.Answer{Service: "s", Runner: "r1", Tolerance: 2, Rejected: true, Own: 3, VMs: 4}, always, start)
	now := start.Add(time.Millisecond)
	ok, retryIn := b.HasRoom(query(3, 0, now), never, now)
	require.False(t, ok)
	require.Greater(t, retryIn, 2*time.Second, "4 VMs cause a rejection each in that time, of which the runner bears 2 a second")
	require.True(t, hasRoom(b, query(2, 0, now), now))
	later := now.Add(retryIn)
	require.True(t, hasRoom(b, query(3, 0, later), later))
}

// All VMs must leave slots free after a rejection of which one of them tells, and take it over once only.
func TestRejectionIsKnownToOtherVMs(t *testing.T) {
	rejected, holder, other := stated(2), stated(2), stated(2)
	rejected.RecordAnswer(brittle.Answer{Service: "s", Runner: "r1", Tolerance: 2, Rejected: true, VMs: 4}, always, start)
	rejected.RecordReport("r1", 12, 0, 24, start)
	told := rejected.Received(start.Add(100 * time.Millisecond))
	require.Equal(t, brittle.Statements{"s": {
		Tolerance:  2,
		Age:        100 * time.Millisecond,
		Rejections: map[string]brittle.Rejection{"r1": {Processed: 12, Age: 100 * time.Millisecond}},
	}}, told)
	now := start.Add(150 * time.Millisecond)
	q := query(0, 13, now)
	require.True(t, hasRoom(other, query(0, 13, start), start))
	holder.Apply(told, now)
	require.Nil(t, holder.Received(now)["s"].Rejections)
	for range 3 {
		other.Apply(holder.Known(now), now)
	}
	require.False(t, hasRoom(other, q, now))
	recovered := now.Add(time.Minute)
	other.Apply(brittle.Statements{"s": {Tolerance: 2}}, recovered)
	require.True(t, hasRoom(other, query(0, 13, recovered), recovered))
}

// The limits must end with the statement, at the runner that no longer makes it at once and everywhere when statements expire.
func TestLimitsEndWithStatement(t *testing.T) {
	b := stated(3)
	full := query(0, 24, start)
	require.False(t, hasRoom(b, full, start))
	now := start.Add(time.Second)
	b.RecordAnswer(brittle.Answer{Service: "s", Runner: "r1"}, always, now)
	require.True(t, hasRoom(b, full, now))
	require.Equal(t, brittle.Statements{"s": {}}, b.Received(now), "other VMs are told")

	b = stated(3)
	require.True(t, hasRoom(b, full, start.Add(10*time.Second)))
	b.Prune(func(string) bool { return true }, start.Add(10*time.Second))
	require.Nil(t, b.Known(start.Add(10*time.Second)))
}

// A VM's answer must not be overruled by what others heard before it, nor by impossible figures.
func TestNewestStatementCounts(t *testing.T) {
	b := stated(3)
	now := start.Add(time.Second)
	b.RecordAnswer(brittle.Answer{Service: "s", Runner: "r2"}, always, now)
	b.Apply(brittle.Statements{"s": {Tolerance: 3, Age: 200 * time.Millisecond}}, now)
	require.True(t, hasRoom(b, query(0, 24, now), now))
	b.Apply(brittle.Statements{"s": {Tolerance: -1}, "t": {Tolerance: 4, Age: -time.Hour}}, now.Add(time.Second))
	require.True(t, hasRoom(b, query(0, 24, now), now.Add(time.Second)))
	b.Apply(brittle.Statements{"s": {Tolerance: 3, Rejections: map[string]brittle.Rejection{"r1": {Processed: -5, Age: -time.Hour}}}}, now.Add(time.Second))
	require.False(t, hasRoom(b, query(0, 24, now), now.Add(time.Second)))
}

// Rejections that go on must make VMs leave ever more slots free, also if they follow each other closely.
func TestLastingRejectionsReserveMore(t *testing.T) {
	b := stated(100)
	others := func(now time.Time) int {
		n := 0
		for hasRoom(b, query(0, n, now), now) && n < 24 {
			n++
		}
		return n
	}
	before := others(start)
	now := start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		b.RecordAnswer(brittle.Answer{Service: "s", Runner: "r1", Tolerance: 100, Rejected: true, Own: 8, VMs: 4}, always, now)
	}
	require.Less(t, others(now), before-5)
}
