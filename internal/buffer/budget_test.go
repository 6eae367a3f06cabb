package buffer_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/buffer"
)

// ignore is for shares whose eviction a test reads from Evicted.
func ignore(*buffer.EvictedError) {}

func TestLargestShareIsEvictedFirst(t *testing.T) {
	b := buffer.NewBudget(100, 0)
	small, large, growing := b.Share(ignore), b.Share(ignore), b.Share(ignore)
	require.NoError(t, small.Hold(20))
	require.NoError(t, large.Hold(60))
	require.NoError(t, growing.Hold(20))
	require.Nil(t, large.Evicted())
	require.NoError(t, growing.Hold(30))
	require.Nil(t, small.Evicted())
	require.Equal(t, &buffer.EvictedError{Bytes: 60, Limit: 100}, large.Evicted())
	require.EqualValues(t, 1, b.Evicted())
	require.EqualValues(t, 110, b.Held(), "an evicted share still holds its bytes")
	large.Release()
	require.EqualValues(t, 50, b.Held())
}

func TestShareThatOutgrowsTheBudgetIsEvictedItself(t *testing.T) {
	b := buffer.NewBudget(100, 0)
	calls := 0
	small := b.Share(ignore)
	growing := b.Share(func(*buffer.EvictedError) { calls++ })
	require.NoError(t, small.Hold(10))
	var evicted *buffer.EvictedError
	require.ErrorAs(t, growing.Hold(101), &evicted)
	require.ErrorAs(t, growing.Hold(102), &evicted, "it stays evicted")
	require.False(t, growing.TryHold(1))
	require.Equal(t, 1, calls)
	require.Nil(t, small.Evicted())
}

func TestTryHoldTakesHalfAndEvictsNothing(t *testing.T) {
	b := buffer.NewBudget(100, 0)
	first, second, third := b.Share(ignore), b.Share(ignore), b.Share(ignore)
	require.True(t, first.TryHold(30))
	require.True(t, first.TryHold(40))
	require.False(t, second.TryHold(11), "more than half")
	require.True(t, second.TryHold(10))
	require.NoError(t, third.Hold(50))
	require.True(t, second.TryHold(0))
	require.NoError(t, third.Hold(60))
	require.False(t, second.TryHold(1), "all is taken")
	require.Zero(t, b.Evicted())
}

// What is only collected for its callers' sake can be passed on, so it outlives what can't.
func TestOptionalSharesAreEvictedLast(t *testing.T) {
	b := buffer.NewBudget(100, 0)
	body, small, large := b.Share(ignore), b.Share(ignore), b.Share(ignore)
	require.True(t, body.TryHold(50))
	require.NoError(t, small.Hold(20))
	require.NoError(t, large.Hold(30))
	require.NoError(t, small.Hold(25))
	require.NotNil(t, large.Evicted())
	require.Nil(t, body.Evicted())
	require.True(t, body.TryHold(40), "its claim may change")
	require.NoError(t, small.Hold(60))
}

// An attempt may be counted by its reader after it has ended.
func TestReleasedShareHoldsNothing(t *testing.T) {
	b := buffer.NewBudget(100, 0)
	s := b.Share(ignore)
	require.NoError(t, s.Hold(50))
	s.Release()
	require.NoError(t, s.Hold(60))
	require.True(t, s.TryHold(10))
	require.Zero(t, b.Held())
	require.True(t, b.Share(ignore).TryHold(50))
}

// However shares grow at once, nothing is held once all are released.
func TestSharesOfManyGoroutinesAreReleased(t *testing.T) {
	const limit = 10_000
	b := buffer.NewBudget(limit, 0)
	var shares sync.WaitGroup
	for i := range 50 {
		shares.Go(func() {
			s := b.Share(ignore)
			defer s.Release()
			for held := 0; s.Hold(held) == nil && held < 20*i; held += i {
			}
		})
	}
	shares.Wait()
	require.Zero(t, b.Held())
	whole := b.Share(ignore)
	require.NoError(t, whole.Hold(limit))
}

// Many responses leave less for what they hold, as each takes memory besides; some always remains.
func TestOpenSharesLowerLimit(t *testing.T) {
	b := buffer.NewBudget(100, 10)
	first, second := b.Share(ignore), b.Share(ignore)
	require.True(t, first.TryHold(40))
	require.NoError(t, second.Hold(40))
	var others []*buffer.Share
	for range 20 {
		others = append(others, b.Share(ignore))
	}
	require.Error(t, second.Hold(41))
	require.EqualValues(t, 25, second.Evicted().Limit)
	for _, share := range others {
		share.Release()
		share.Release()
	}
	second.Release()
	require.NoError(t, b.Share(ignore).Hold(40))
}
