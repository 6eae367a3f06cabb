package promptguard

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
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

// restore drops all records.
func (s *flakyStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.entries)
}

// soleVM is a VM that holds the lease and has no links.
type soleVM struct {
	tenure atomic.Uint64
}

func (*soleVM) HoldsLease() bool                      { return true }
func (v *soleVM) Tenure() uint64                      { return v.tenure.Load() }
func (*soleVM) LinkedToHolder() (uint64, bool)        { return 0, false }
func (*soleVM) SendEvidence(quarantine.Evidence)      {}
func (*soleVM) BroadcastQuarantine(quarantine.Status) {}

// newSoleGuard returns a running guard of a sole VM.
func newSoleGuard(t *testing.T, store quarantine.Store) (*Guard, *soleVM) {
	t.Helper()
	vm := &soleVM{}
	g := New(Dependencies{
		Peers:        vm,
		Store:        store,
		Roster:       roster.New().View,
		LastReceived: func(string) time.Time { return time.Time{} },
		Metrics:      NewMetrics(prometheus.NewRegistry()),
		Clock:        clockwork.NewRealClock(),
		Logger:       slog.New(slog.DiscardHandler),
	})
	ctx, stop := context.WithCancel(context.Background())
	loops, ctx := errgroup.WithContext(ctx)
	for _, loop := range g.Loops() {
		loops.Go(func() error { return loop(ctx) })
	}
	t.Cleanup(func() {
		stop()
		require.NoError(t, loops.Wait())
	})
	return g, vm
}

// convict has a section crash three runners.
func convict(g *Guard, section string) {
	now := time.Now()
	for i, runner := range []string{"r1", "r2", "r3"} {
		at := now.Add(time.Duration(i) * time.Second)
		g.RecordStrike(&roster.Runner{ID: runner}, prompt(section), quarantine.NewProgress(at), at.Add(time.Second))
	}
}

// Calls to the store are repeated until they succeed.
func TestStoreFailuresAreRetried(t *testing.T) {
	now := time.Now()
	store := &flakyStore{entries: map[string]quarantine.Entry{
		"stored": {Section: "stored", Convictions: 1, ConvictedAt: now, RequestedAt: now},
		"old":    {Section: "old", Convictions: 1, ConvictedAt: now.Add(-72 * time.Hour), RequestedAt: now.Add(-72 * time.Hour)},
	}}
	g, _ := newSoleGuard(t, store)
	require.False(t, g.Loaded())
	require.Eventually(t, g.Loaded, waitTimeout, pollInterval)
	_, refused := g.Quarantined(prompt("stored"))
	require.True(t, refused)
	convict(g, "deadly")
	require.Eventually(t, func() bool { return store.has("deadly") && !store.has("old") }, waitTimeout, pollInterval)
}

// A store that was restored from a copy lacks the newest records. They are saved again by the VM that goes on deciding.
func TestRecordsLostByStoreAreSavedAgain(t *testing.T) {
	store := &flakyStore{entries: make(map[string]quarantine.Entry)}
	g, vm := newSoleGuard(t, store)
	require.Eventually(t, g.Loaded, waitTimeout, pollInterval)
	convict(g, "deadly")
	require.Eventually(t, func() bool { return store.has("deadly") }, waitTimeout, pollInterval)
	store.restore()
	vm.tenure.Add(1)
	require.Eventually(t, func() bool { return store.has("deadly") }, waitTimeout, pollInterval)
	_, refused := g.Quarantined(prompt("deadly"))
	require.True(t, refused)
}
