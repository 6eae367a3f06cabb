package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/pause"
)

func TestPauseEndsWithItsTimeOrContext(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, stop := context.WithCancel(t.Context())
	passed := make(chan bool)
	wait := func() { passed <- pause.For(ctx, clock, time.Second) }
	go wait()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	require.True(t, <-passed)
	go wait()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	stop()
	require.False(t, <-passed)
}
