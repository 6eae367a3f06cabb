package promptguard

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// flakyStore is a quarantine.Store of which every second call fails.
type flakyStore struct {
	mu      sync.Mutex
	calls   int
	entries map[string]quarantine.Entry
}

func (s *flakyStore) call(do func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls++; s.calls%2 == 1 {
		return &logservice.UnavailableError{Stream: "quarantine"}
	}
	do()
	return nil
}

func (s *flakyStore) LoadQuarantine(context.Context) (entries []quarantine.Entry, err error) {
	err = s.call(func() {
		for _, e := range s.entries {
			entries = append(entries, e)
		}
	})
	return entries, err
}

func (s *flakyStore) SaveQuarantine(_ context.Context, e quarantine.Entry) error {
	return s.call(func() { s.entries[e.Section] = e })
}

func (s *flakyStore) DeleteQuarantine(_ context.Context, section string) error {
	return s.call(func() { delete(s.entries, section) })
}

func (s *flakyStore) has(section string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, has := s.entries[section]
	return has
}

// soleVM is a VM that holds the lease and has no links.
type soleVM struct{}

func (soleVM) HoldsLease() bool                      { return true }
func (soleVM) LinkedToHolder() (uint64, bool)        { return 0, false }
func (soleVM) SendEvidence(quarantine.Evidence)      {}
func (soleVM) BroadcastQuarantine(quarantine.Status) {}

// Calls to the store are repeated until they succeed.
func TestStoreFailuresAreRetried(t *testing.T) {
	now := time.Now()
	store := &flakyStore{entries: map[string]quarantine.Entry{
		"stored": {Section: "stored", Convictions: 1, ConvictedAt: now, RequestedAt: now},
		"old":    {Section: "old", Convictions: 1, ConvictedAt: now.Add(-72 * time.Hour), RequestedAt: now.Add(-72 * time.Hour)},
	}}
	clock := clockwork.NewRealClock()
	g := New(Dependencies{
		Peers:        soleVM{},
		Store:        store,
		Roster:       roster.New().View,
		LastReceived: func(string) time.Time { return time.Time{} },
		Metrics:      NewMetrics(prometheus.NewRegistry()),
		Clock:        clock,
		Logger:       slog.New(slog.DiscardHandler),
	})
	ctx, stop := context.WithCancel(t.Context())
	loops, ctx := errgroup.WithContext(ctx)
	for _, loop := range g.Loops() {
		loops.Go(func() error { return loop(ctx) })
	}
	require.False(t, g.Loaded())
	require.Eventually(t, g.Loaded, waitTimeout, pollInterval)
	_, refused := g.Quarantined(prompt("stored"))
	require.True(t, refused)
	for i, runner := range []string{"r1", "r2", "r3"} {
		at := now.Add(time.Duration(i) * time.Second)
		g.RecordStrike(&roster.Runner{ID: runner}, prompt("deadly"), quarantine.NewProgress(at), at.Add(time.Second))
	}
	require.Eventually(t, func() bool { return store.has("deadly") && !store.has("old") }, waitTimeout, pollInterval)
	stop()
	require.NoError(t, loops.Wait())
}
