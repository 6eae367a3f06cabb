package reach_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/reach"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

var _ dispatch.Reach = (*reach.Monitor)(nil)

// opener opens connections unless it is broken, and counts its calls.
type opener struct {
	broken atomic.Bool
	calls  atomic.Int64
}

// Open implements reach.Opener.
func (o *opener) Open(context.Context, string) error {
	o.calls.Add(1)
	if o.broken.Load() {
		return errors.New("refused")
	}
	return nil
}

// log is a buffer for log lines.
type log struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

func (l *log) count(e event.Event) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.buffer.Bytes(), []byte(e.Name))
}

// startMonitor runs a monitor until the test ends.
func startMonitor(t *testing.T, d reach.Dependencies) *reach.Monitor {
	t.Helper()
	d.VMs = func() int { return 3 }
	m := reach.New(d)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return m
}

func noSilence(time.Time) (int, time.Duration) { return 0, 0 }

// isLost reports whether a channel is closed.
func isLost(lost <-chan struct{}) bool {
	select {
	case <-lost:
		return true
	default:
		return false
	}
}

// listen opens the ports of runners, which accept connections and send nothing.
func listen(t *testing.T, addresses []string) []net.Listener {
	t.Helper()
	listeners := make([]net.Listener, len(addresses))
	for i, address := range addresses {
		listener, err := net.Listen("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		listeners[i], addresses[i] = listener, listener.Addr().String()
	}
	return listeners
}

// The runners' ports are closed and opened again.
func TestMonitorOfRealConnections(t *testing.T) {
	addresses := []string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}
	listeners := listen(t, addresses)
	next := 0
	view := newView(t, len(addresses), 1, func(r *roster.Runner) {
		r.Address = addresses[next]
		next++
	})
	lines := &log{}
	pool := outbound.NewPool(clockwork.NewRealClock())
	m := startMonitor(t, reach.Dependencies{
		Roster:  func() *roster.View { return view },
		Silence: noSilence,
		Opener:  pool,
		Clock:   clockwork.NewRealClock(),
		Logger:  slog.New(slog.NewTextHandler(lines, nil)),
	})
	first, _ := view.Runner("runner-0")
	second, _ := view.Runner("runner-1")
	fail := func() {
		m.RecordFailure(first)
		m.RecordFailure(second)
	}
	require.Eventually(t, func() bool {
		fail()
		return pool.Opened() >= 3
	}, 5*time.Second, 10*time.Millisecond)
	require.False(t, m.CutOff())

	lost := m.Lost()
	require.False(t, isLost(lost))
	for _, listener := range listeners {
		require.NoError(t, listener.Close())
	}
	// The suspicion that was dismissed is not probed again at once.
	require.Eventually(t, func() bool {
		fail()
		return m.CutOff()
	}, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return isLost(lost) }, time.Second, time.Millisecond)
	require.True(t, isLost(m.Lost()))

	require.True(t, m.Await(t.Context()))
	listen(t, addresses)
	require.Eventually(t, func() bool { return !m.CutOff() }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return !isLost(m.Lost()) }, time.Second, time.Millisecond)
	require.True(t, isLost(lost))
	require.Eventually(t, func() bool { return lines.count(event.RunnersReached) == 1 }, time.Second, time.Millisecond)
	require.Equal(t, 1, lines.count(event.RunnersOutOfReach))
}

// A process that stood still for seconds finds that nothing has come from the runners; that is no evidence.
func TestMonitorThatStoodStill(t *testing.T) {
	view := newView(t, 9, 2)
	clock := clockwork.NewFakeClock()
	lastData := clock.Now()
	opener := &opener{}
	opener.broken.Store(true)
	var looks atomic.Int64
	m := startMonitor(t, reach.Dependencies{
		Roster: func() *roster.View { return view },
		Silence: func(now time.Time) (int, time.Duration) {
			looks.Add(1)
			return 5, now.Sub(lastData)
		},
		Opener: opener,
		Clock:  clock,
		Logger: slog.New(slog.DiscardHandler),
	})
	advance := func(d time.Duration) {
		before := looks.Load()
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(d)
		require.Eventually(t, func() bool { return looks.Load() > before }, 5*time.Second, 100*time.Microsecond)
	}
	advance(5 * time.Second)
	for range 7 {
		advance(testTick)
	}
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	require.Zero(t, opener.calls.Load())
	require.False(t, m.CutOff())
	advance(testTick)
	require.Eventually(t, func() bool { return opener.calls.Load() > 0 }, 5*time.Second, time.Millisecond)
}

// Requests that fail at all runners at once wait until it is decided whether the VM is cut off, and no longer.
func TestDecisionIsAwaited(t *testing.T) {
	for name, reached := range map[string]bool{"runners are reached": true, "no runner is reached": false} {
		t.Run(name, func(t *testing.T) {
			addresses := []string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}
			for _, listener := range listen(t, addresses) {
				if !reached {
					require.NoError(t, listener.Close())
				}
			}
			next := 0
			view := newView(t, len(addresses), 1, func(r *roster.Runner) {
				r.Address = addresses[next]
				next++
			})
			m := startMonitor(t, reach.Dependencies{
				Roster:  func() *roster.View { return view },
				Silence: noSilence,
				Opener:  outbound.NewPool(clockwork.NewRealClock()),
				Clock:   clockwork.NewRealClock(),
				Logger:  slog.New(slog.DiscardHandler),
			})
			// Run drops what was recorded before it.
			time.Sleep(100 * time.Millisecond)
			require.False(t, m.Await(t.Context()))
			for _, runner := range view.All() {
				m.RecordFailure(runner)
			}
			began := time.Now()
			require.Equal(t, !reached, m.Await(t.Context()))
			require.Less(t, time.Since(began), time.Second)
		})
	}
}
