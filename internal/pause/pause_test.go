package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/pause"
)

func TestPauseEndsAfterDurationOrWithContext(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(t.Context())
	elapsed := make(chan bool)
	wait := func() { elapsed <- pause.For(ctx, clock, time.Second) }
	go wait()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	require.True(t, <-elapsed)
	go wait()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	cancel()
	require.False(t, <-elapsed)
}
