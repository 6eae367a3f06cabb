package cluster_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/origin"
)

// A VM gets the census that it asked for. One that comes too late is no answer to a later request, and a VM that takes its time for one
// still handles other frames.
func TestCensusAnswersItsRequest(t *testing.T) {
	slow := make(chan struct{})
	counts := 0
	p := newPairWith(t, func(holder, _ *fakeVM) {
		holder.census = func() origin.Census {
			holder.mu.Lock()
			counts++
			n := counts
			holder.mu.Unlock()
			if n == 1 {
				<-slow
				return origin.Census{}
			}
			return origin.Census{
				Single:  map[string]string{"models": "v2"},
				Current: true,
			}
		}
	})
	require.Eventually(t, func() bool { return len(p.hub.Members()) == 2 }, waitTimeout, pollInterval)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, ok := p.spoke.Census(ctx)
	require.False(t, ok)
	require.True(t, p.spoke.SendOrigins([]origin.Batch{{Service: "models"}}))
	require.Eventually(t, p.holder.check(func(v *fakeVM) bool { return len(v.receivedOrigins) == 1 }), waitTimeout, pollInterval)
	p.holder.update(func(v *fakeVM) {
		answer := v.census
		v.census = func() origin.Census {
			close(slow)
			time.Sleep(50 * time.Millisecond)
			return answer()
		}
	})
	census, ok := p.spoke.Census(t.Context())
	require.True(t, ok)
	require.Equal(t, origin.Census{Single: map[string]string{"models": "v2"}, Current: true}, census)
}

func TestNoCensusWithoutLink(t *testing.T) {
	p := newPairWith(t, func(_, other *fakeVM) { other.holder = "" })
	_, ok := p.spoke.Census(t.Context())
	require.False(t, ok)
}
