package logring_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/logring"
)

// stuck is an output that takes nothing.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestStuckOutputBlocksNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	ring := logring.New(out)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = ring.Run(ctx)
	}()
	const lines = 20000
	for i := range lines {
		n, err := fmt.Fprintf(ring, "line %d\n", i)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	require.Positive(t, ring.Dropped())
	require.Less(t, ring.Dropped(), uint64(lines))
	close(out.release)
	stop()
	<-done
}

func TestLinesAreFlushedAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	ring := logring.New(&out)
	for i := range 3 {
		fmt.Fprintf(ring, "%d\n", i)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	require.NoError(t, ring.Run(ctx))
	require.Equal(t, "0\n1\n2\n", out.String())
	require.Zero(t, ring.Dropped())
}
