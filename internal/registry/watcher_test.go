package registry_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/registry"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 2 * time.Millisecond
)

var errDown = &logservice.UnavailableError{Stream: "s", Cause: errors.New("down")}

// fakeSource simulates the store.
type fakeSource struct {
	mu                 sync.Mutex
	era                logservice.Era
	version            uint64
	down               bool
	expired            bool
	changes            []roster.Change
	skipped            []registry.SkippedRecord
	waits              []time.Duration
	configurationReads int
	fullReads          int
	// hang makes a wait for a configuration change last until its context ends.
	hang             bool
	incrementalReads int
	failedReads      int
}

func (s *fakeSource) Configuration(context.Context) (registry.Configuration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configurationReads++
	if s.down {
		return registry.Configuration{}, errDown
	}
	return s.configuration(), nil
}

func (s *fakeSource) configuration() registry.Configuration {
	if s.version == 0 {
		return registry.Configuration{}
	}
	return registry.Configuration{
		Catalog: catalog.New(s.version, catalog.Limits{}, nil, nil),
		Encoded: []byte{byte(s.version)},
		Next:    logservice.Position{Era: s.era, Offset: logservice.Offset(s.version)},
	}
}

func (s *fakeSource) ConfigurationAfter(ctx context.Context, from logservice.Position, wait time.Duration) (registry.Configuration, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	hang := s.hang
	s.mu.Unlock()
	if hang {
		<-ctx.Done()
		return registry.Configuration{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return registry.Configuration{}, errDown
	case s.expired:
		s.expired = false
		return registry.Configuration{}, &logservice.ExpiredError{From: from.Offset}
	case from.Era != s.era:
		return registry.Configuration{}, &logservice.EraChangedError{Era: s.era}
	case uint64(from.Offset) == s.version:
		return registry.Configuration{Next: from}, nil
	}
	return s.configuration(), nil
}

func (s *fakeSource) DecodeConfiguration(encoded []byte) (*catalog.Catalog, error) {
	if len(encoded) != 1 {
		return nil, errors.New("unreadable")
	}
	return catalog.New(uint64(encoded[0]), catalog.Limits{}, nil, nil), nil
}

func (s *fakeSource) Runners(context.Context) (registry.Runners, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullReads++
	if s.down {
		return registry.Runners{}, errDown
	}
	return registry.Runners{Changes: s.changes, Skipped: s.skipped, Next: logservice.Position{Era: s.era}}, nil
}

func (s *fakeSource) RunnersAfter(_ context.Context, from logservice.Position, _ time.Duration) (registry.Runners, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.failedReads++
		return registry.Runners{}, errDown
	}
	if s.expired {
		s.expired = false
		return registry.Runners{}, &logservice.ExpiredError{From: from.Offset}
	}
	if from.Era != s.era {
		return registry.Runners{}, &logservice.EraChangedError{Era: s.era}
	}
	s.incrementalReads++
	result := registry.Runners{Changes: s.changes, Next: from.WithOffset(from.Offset + 1)}
	s.changes = nil
	return result, nil
}

func (s *fakeSource) update(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// fakePeers simulates the other VMs.
type fakePeers struct {
	mu        sync.Mutex
	linked    bool
	links     uint64
	forwarded []roster.Change
}

func (p *fakePeers) LinkedToHolder() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links, p.linked
}

func (p *fakePeers) ForwardChanges(changes []roster.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarded = append(p.forwarded, changes...)
}

func (p *fakePeers) setLinked(linked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linked = linked
	if linked {
		p.links++
	}
}

// fixture is a watcher with a simulated store and simulated peers.
type fixture struct {
	source  *fakeSource
	peers   *fakePeers
	clock   *clockwork.FakeClock
	active  *catalog.Active
	roster  *roster.Roster
	watcher *registry.Watcher
}

func newFixture(t *testing.T, firstStart bool) *fixture {
	t.Helper()
	f := &fixture{
		source: &fakeSource{},
		peers:  &fakePeers{},
		clock:  clockwork.NewFakeClock(),
		active: catalog.NewActive(),
		roster: roster.New(),
	}
	f.watcher = registry.New(f.source, f.active, f.roster, f.peers, registry.Options{
		FirstStart:   firstStart,
		ChangeWithin: 3 * time.Second,
	}, f.clock, slog.New(slog.DiscardHandler))
	return f
}

// start runs a loop of the watcher until the test ends.
func (f *fixture) start(t *testing.T, loop func(context.Context) error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = loop(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// advanceUntil advances the clock until a condition holds.
func (f *fixture) advanceUntil(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		f.clock.Advance(50 * time.Millisecond)
		return condition()
	}, waitTimeout, pollInterval)
}

func registration(id string, heartbeat uint64) roster.Change {
	return roster.Change{
		ID: id,
		Runner: &roster.Runner{
			ID:        id,
			Service:   "s",
			Heartbeat: heartbeat,
		},
	}
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	f := newFixture(t, false)
	f.start(t, f.watcher.WatchConfiguration)
	f.source.update(func(s *fakeSource) { s.version = 3 })
	f.advanceUntil(t, func() bool { return f.active.Version() == 3 })
	require.NoError(t, f.watcher.AdoptConfiguration([]byte{9}))
	f.source.update(func(s *fakeSource) { s.version = 5 })
	f.advanceUntil(t, func() bool {
		f.source.mu.Lock()
		defer f.source.mu.Unlock()
		return len(f.source.waits) > 2
	})
	require.EqualValues(t, 9, f.active.Version())
	require.EqualValues(t, 9, f.watcher.NewestConfiguration().Version)
	require.Error(t, f.watcher.AdoptConfiguration(nil))
}

func TestExpiredOffsetCausesFullRead(t *testing.T) {
	f := newFixture(t, false)
	f.source.update(func(s *fakeSource) { s.version = 3 })
	f.start(t, f.watcher.WatchConfiguration)
	f.advanceUntil(t, func() bool { return f.active.Version() == 3 })
	f.source.update(func(s *fakeSource) { s.version, s.expired = 4, true })
	f.advanceUntil(t, func() bool { return f.active.Version() == 4 })
}

// The store once failed to end a wait when a change arrived, so the change was seen only at the end of the wait. Without a
// link to the lease holder, a wait must be shorter than the time within which a change must be active. With one, the holder
// waits for this VM.
func TestWaitsAreShortWithoutHolder(t *testing.T) {
	f := newFixture(t, false)
	f.source.update(func(s *fakeSource) { s.version = 3 })
	f.start(t, f.watcher.WatchConfiguration)
	f.advanceUntil(t, func() bool { return f.source.waitCount() > 2 })
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	for _, wait := range f.source.waits {
		require.LessOrEqual(t, wait, 2*time.Second)
	}
}

// While the lease holder reads the store, a VM linked to it makes no call at all after its first reads.
func TestLinkedVMMakesNoCalls(t *testing.T) {
	f := newFixture(t, false)
	f.source.update(func(s *fakeSource) { s.version = 3 })
	f.start(t, f.watcher.WatchConfiguration)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, f.watcher.Ready)
	f.peers.setLinked(true)
	for range 100 {
		f.clock.Advance(50 * time.Millisecond)
		time.Sleep(pollInterval)
	}
	before := f.source.callCount()
	for range 600 {
		f.clock.Advance(100 * time.Millisecond)
		time.Sleep(pollInterval)
	}
	require.Equal(t, before, f.source.callCount())
}

// A VM must not rely on a lease holder whose own reads are overdue, for whatever reason.
func TestReadsAreOverdueWhenStoreHangs(t *testing.T) {
	f := newFixture(t, false)
	f.source.update(func(s *fakeSource) { s.version = 3 })
	f.start(t, f.watcher.WatchConfiguration)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, func() bool { return f.watcher.Ready() && !f.watcher.ReadsOverdue() })
	f.source.update(func(s *fakeSource) { s.hang = true })
	hung := f.clock.Now()
	f.advanceUntil(t, f.watcher.ReadsOverdue)
	require.Less(t, f.clock.Since(hung), 2500*time.Millisecond)
}

func (s *fakeSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configurationReads + len(s.waits) + s.fullReads + s.incrementalReads + s.failedReads
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	f := newFixture(t, false)
	f.start(t, f.watcher.WatchConfiguration)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, func() bool { return f.source.fullReadCount() > 0 })
	require.False(t, f.watcher.Ready())
	f.source.update(func(s *fakeSource) { s.version = 1 })
	f.advanceUntil(t, f.watcher.Ready)
}

func (s *fakeSource) fullReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullReads
}

// A store outage must not make a VM unready, and during the outage the VM uses another VM's list of runners.
func TestStoreOutage(t *testing.T) {
	f := newFixture(t, false)
	f.source.update(func(s *fakeSource) { s.version, s.changes = 1, []roster.Change{registration("a", 1)} })
	f.start(t, f.watcher.WatchConfiguration)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, f.watcher.Ready)
	f.watcher.ApplyPeerRunners([]roster.Runner{*registration("b", 1).Runner})
	require.Contains(t, f.roster.View().All(), "a", "another VM's list must be ignored unless the store is unavailable")
	f.source.update(func(s *fakeSource) { s.down = true })
	f.advanceUntil(t, f.watcher.StoreUnavailable)
	require.True(t, f.watcher.Ready())
	f.watcher.ApplyPeerRunners([]roster.Runner{*registration("b", 1).Runner})
	require.Contains(t, f.roster.View().All(), "b")
	require.NotContains(t, f.roster.View().All(), "a")
	f.source.update(func(s *fakeSource) { s.down = false })
	f.advanceUntil(t, func() bool { return !f.watcher.StoreUnavailable() })
}

func TestRunnersAreCompleteOnceNoNewOnesAppear(t *testing.T) {
	f := newFixture(t, true)
	f.source.update(func(s *fakeSource) { s.changes = []roster.Change{registration("a", 1)} })
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, func() bool { return len(f.roster.View().All()) == 1 })
	require.False(t, f.watcher.RunnersComplete())
	f.advanceUntil(t, f.watcher.RunnersComplete)
}

// A VM that got every runner from the lease holder must also consider its list complete, because it may hold the lease next.
func TestRunnersAreCompleteOnChangesFromHolder(t *testing.T) {
	f := newFixture(t, true)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, func() bool { return f.source.fullReadCount() > 0 })
	f.watcher.ApplyChanges([]roster.Change{registration("a", 1)})
	f.advanceUntil(t, f.watcher.RunnersComplete)
}

func TestRunnersAreCompleteAtOnceAfterRestart(t *testing.T) {
	f := newFixture(t, false)
	f.source.update(func(s *fakeSource) { s.changes = []roster.Change{registration("a", 1)} })
	f.start(t, f.watcher.WatchRunners)
	require.Eventually(t, f.watcher.RunnersComplete, waitTimeout, pollInterval)
}

func TestChangesAreForwarded(t *testing.T) {
	f := newFixture(t, false)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, func() bool { return f.source.fullReadCount() > 0 })
	first := registration("a", 1)
	first.Runner.InMemory = []string{"m"}
	f.source.update(func(s *fakeSource) { s.changes = []roster.Change{first} })
	f.advanceUntil(t, func() bool {
		f.peers.mu.Lock()
		defer f.peers.mu.Unlock()
		return len(f.peers.forwarded) == 1
	})
	require.Empty(t, f.peers.forwarded[0].Runner.InMemory)
	runner, _ := f.roster.View().Runner("a")
	require.Equal(t, []string{"m"}, runner.InMemory)
	f.source.update(func(s *fakeSource) { s.changes = []roster.Change{{ID: "a"}} })
	f.advanceUntil(t, func() bool {
		f.peers.mu.Lock()
		defer f.peers.mu.Unlock()
		return len(f.peers.forwarded) == 2 && f.peers.forwarded[1].Runner == nil
	})
}

// A VM does not wait for a configuration change while the lease holder sends its version, but must do so when the link is
// lost.
func TestConfigurationIsReadAtOnceWhenLinkIsLost(t *testing.T) {
	f := newFixture(t, false)
	f.peers.setLinked(true)
	f.source.update(func(s *fakeSource) { s.version = 3 })
	f.start(t, f.watcher.WatchConfiguration)
	f.advanceUntil(t, func() bool { return f.active.Version() == 3 })
	f.source.update(func(s *fakeSource) { s.version = 4 })
	for range 100 {
		f.clock.Advance(50 * time.Millisecond)
		time.Sleep(pollInterval)
	}
	require.Zero(t, f.source.waitCount())
	require.EqualValues(t, 3, f.active.Version())
	f.peers.setLinked(false)
	lost := f.clock.Now()
	f.advanceUntil(t, func() bool { return f.active.Version() == 4 })
	require.Less(t, f.clock.Since(lost), time.Second)
}

// Registrations are read rarely while the lease holder forwards what it reads, but at once when the link is lost.
func TestRegistrationsAreReadAtOnceWhenLinkIsLost(t *testing.T) {
	f := newFixture(t, false)
	f.peers.setLinked(true)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, func() bool { return f.source.fullReadCount() == 1 })
	for range 40 {
		f.clock.Advance(50 * time.Millisecond)
		time.Sleep(pollInterval)
	}
	require.Zero(t, f.source.incrementalReadCount())
	f.peers.setLinked(false)
	f.advanceUntil(t, func() bool { return f.source.incrementalReadCount() > 0 })
}

// A removal deferred after a store outage takes effect when its delay is over, not at the next read.
func TestDeferredRemovalDoesNotWaitForNextRead(t *testing.T) {
	f := newFixture(t, false)
	f.peers.setLinked(true)
	f.source.update(func(s *fakeSource) { s.changes = []roster.Change{registration("a", 1)} })
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, func() bool { return len(f.roster.View().All()) == 1 })
	f.source.update(func(s *fakeSource) { s.down = true })
	f.peers.setLinked(false)
	f.advanceUntil(t, f.watcher.StoreUnavailable)
	f.source.update(func(s *fakeSource) { s.down = false })
	f.peers.setLinked(true)
	f.advanceUntil(t, func() bool { return !f.watcher.StoreUnavailable() })
	reads := f.source.incrementalReadCount()
	f.watcher.ApplyChanges([]roster.Change{{ID: "a"}})
	require.Len(t, f.roster.View().All(), 1)
	f.advanceUntil(t, func() bool { return len(f.roster.View().All()) == 0 })
	require.Equal(t, reads, f.source.incrementalReadCount())
}

// What a new lease holder forwarded before this VM was linked to it must be read from the store.
func TestRegistrationsAreReadAtOnceOverNewLink(t *testing.T) {
	f := newFixture(t, false)
	f.peers.setLinked(true)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, func() bool { return f.source.fullReadCount() == 1 })
	f.peers.setLinked(true)
	for range 20 {
		f.clock.Advance(50 * time.Millisecond)
		time.Sleep(pollInterval)
	}
	require.Eventually(t, func() bool { return f.source.incrementalReadCount() == 1 }, waitTimeout, pollInterval)
}

func (s *fakeSource) waitCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waits)
}

func (s *fakeSource) incrementalReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incrementalReads
}

// When the holder fails, a new link comes before the store must be read; only the registrations are then read, over the new link.
func TestNewLinkSavesReads(t *testing.T) {
	f := newFixture(t, false)
	f.peers.setLinked(true)
	f.source.update(func(s *fakeSource) { s.version = 3 })
	f.start(t, f.watcher.WatchConfiguration)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, f.watcher.Ready)
	for range 40 {
		f.clock.Advance(50 * time.Millisecond)
		time.Sleep(pollInterval)
	}
	before := f.source.callCount()
	f.peers.setLinked(false)
	f.clock.Advance(100 * time.Millisecond)
	time.Sleep(pollInterval)
	f.peers.setLinked(true)
	for range 100 {
		f.clock.Advance(50 * time.Millisecond)
		time.Sleep(pollInterval)
	}
	require.LessOrEqual(t, f.source.callCount(), before+1)
}

// During an outage of the store, hundreds of VMs must not call it as often as one alone might.
func TestOutageNeedsFewCalls(t *testing.T) {
	f := newFixture(t, false)
	f.source.update(func(s *fakeSource) { s.version = 3 })
	f.start(t, f.watcher.WatchConfiguration)
	f.start(t, f.watcher.WatchRunners)
	f.advanceUntil(t, f.watcher.Ready)
	f.source.update(func(s *fakeSource) { s.down = true })
	f.advanceUntil(t, f.watcher.StoreUnavailable)
	before := f.source.callCount()
	for started := f.clock.Now(); f.clock.Since(started) < 20*time.Second; {
		f.clock.Advance(20 * time.Millisecond)
		time.Sleep(pollInterval)
	}
	require.LessOrEqual(t, f.source.callCount()-before, 2*20*2/3, "two calls in three seconds for each topic")
	f.source.update(func(s *fakeSource) { s.down = false })
	restored := f.clock.Now()
	f.advanceUntil(t, func() bool { return !f.watcher.StoreUnavailable() })
	require.Less(t, f.clock.Since(restored), 4*time.Second)
}
