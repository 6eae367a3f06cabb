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
	b := buffer.NewBudget(100)
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
	b := buffer.NewBudget(100)
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

func TestTryHoldEvictsNothing(t *testing.T) {
	b := buffer.NewBudget(100)
	first, second := b.Share(ignore), b.Share(ignore)
	require.True(t, first.TryHold(60))
	require.False(t, second.TryHold(41))
	require.True(t, second.TryHold(40))
	require.True(t, first.TryHold(0))
	require.EqualValues(t, 40, b.Held())
	require.Zero(t, b.Evicted())
}

// However shares grow at once, nothing is held once all are released.
func TestReleasedSharesHoldNothing(t *testing.T) {
	const limit = 10_000
	b := buffer.NewBudget(limit)
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
	require.True(t, whole.TryHold(limit))
}
