package logbuffer_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/logbuffer"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct{ release chan struct{} }

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	writer := logbuffer.New(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = writer.Run(ctx)
	}()
	const lines = 20000
	for i := range lines {
		n, err := fmt.Fprintf(writer, "line %d\n", i)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	require.Positive(t, writer.Dropped())
	require.Less(t, writer.Dropped(), uint64(lines))
	close(out.release)
	cancel()
	<-done
}

// Lines wait for an output that is blocked, however long they are, within a limit of bytes.
func TestLongLinesAreBounded(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	writer := logbuffer.New(out)
	line := make([]byte, 60<<10)
	for range 200 {
		_, err := writer.Write(line)
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, int(writer.Dropped())*len(line), 200*len(line)-4<<20)
	close(out.release)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, writer.Run(ctx))
	dropped := writer.Dropped()
	_, err := writer.Write(line)
	require.NoError(t, err)
	require.Equal(t, dropped, writer.Dropped(), "there is room again")
}

func TestQueuedLinesAreFlushed(t *testing.T) {
	var out bytes.Buffer
	writer := logbuffer.New(&out)
	for i := range 3 {
		fmt.Fprintf(writer, "%d\n", i)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, writer.Run(ctx))
	require.Equal(t, "0\n1\n2\n", out.String())
	require.Zero(t, writer.Dropped())
}
