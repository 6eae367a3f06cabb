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
	waitLimit = 20 * time.Second
	tick      = 2 * time.Millisecond
)

var errDown = &logservice.UnavailableError{Stream: "s", Cause: errors.New("down")}

// source plays the store.
type source struct {
	mu       sync.Mutex
	version  uint64
	down     bool
	expired  bool
	changes  []roster.Change
	waits    []time.Duration
	newest   int
	fullRead int
	// stuck makes a wait for a change last until its context ends; changesRead counts the reads of registrations.
	stuck       bool
	changesRead int
}

func (s *source) Configuration(context.Context) (registry.Configuration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest++
	if s.down {
		return registry.Configuration{}, errDown
	}
	return s.configuration(), nil
}

func (s *source) configuration() registry.Configuration {
	if s.version == 0 {
		return registry.Configuration{}
	}
	return registry.Configuration{
		Catalog: catalog.New(s.version, catalog.Limits{}, nil, nil),
		Encoded: []byte{byte(s.version)},
		Next:    logservice.Offset(s.version),
	}
}

func (s *source) ConfigurationAfter(ctx context.Context, from logservice.Offset, wait time.Duration) (registry.Configuration, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	stuck := s.stuck
	s.mu.Unlock()
	if stuck {
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
		return registry.Configuration{}, &logservice.ExpiredError{From: from}
	case uint64(from) == s.version:
		return registry.Configuration{Next: from}, nil
	}
	return s.configuration(), nil
}

func (s *source) DecodeConfiguration(encoded []byte) (*catalog.Catalog, error) {
	if len(encoded) != 1 {
		return nil, errors.New("unreadable")
	}
	return catalog.New(uint64(encoded[0]), catalog.Limits{}, nil, nil), nil
}

func (s *source) Runners(context.Context) (registry.Runners, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullRead++
	if s.down {
		return registry.Runners{}, errDown
	}
	return registry.Runners{Changes: s.changes}, nil
}

func (s *source) RunnersAfter(_ context.Context, from logservice.Offset, _ time.Duration) (registry.Runners, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return registry.Runners{}, errDown
	}
	s.changesRead++
	read := registry.Runners{Changes: s.changes, Next: from + 1}
	s.changes = nil
	return read, nil
}

func (s *source) set(change func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// peers plays the other VMs.
type peers struct {
	mu        sync.Mutex
	linked    bool
	links     uint64
	forwarded []roster.Change
}

func (p *peers) Linked() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links, p.linked
}

func (p *peers) Forward(changes []roster.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarded = append(p.forwarded, changes...)
}

func (p *peers) link(linked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linked = linked
	if linked {
		p.links++
	}
}

type world struct {
	source  *source
	peers   *peers
	clock   *clockwork.FakeClock
	inForce *catalog.InForce
	roster  *roster.Roster
	watcher *registry.Watcher
}

func newWorld(t *testing.T, firstStart bool) *world {
	t.Helper()
	w := &world{
		source:  &source{},
		peers:   &peers{},
		clock:   clockwork.NewFakeClock(),
		inForce: catalog.NewInForce(),
		roster:  roster.New(),
	}
	w.watcher = registry.New(w.source, w.inForce, w.roster, w.peers, firstStart, w.clock, slog.New(slog.DiscardHandler))
	return w
}

func (w *world) run(t *testing.T, thread func(context.Context) error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = thread(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// until lets time pass until a condition holds.
func (w *world) until(t *testing.T, holds func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		w.clock.Advance(50 * time.Millisecond)
		return holds()
	}, waitLimit, tick)
}

func change(id string, heartbeat uint64) roster.Change {
	return roster.Change{
		ID: id,
		Runner: &roster.Runner{
			ID:        id,
			Service:   "s",
			Heartbeat: heartbeat,
		},
	}
}

func TestConfigurationRisesOnly(t *testing.T) {
	w := newWorld(t, false)
	w.run(t, w.watcher.RunConfiguration)
	w.source.set(func(s *source) { s.version = 3 })
	w.until(t, func() bool { return w.inForce.Version() == 3 })
	require.NoError(t, w.watcher.Adopt([]byte{9}))
	w.source.set(func(s *source) { s.version = 5 })
	w.until(t, func() bool {
		w.source.mu.Lock()
		defer w.source.mu.Unlock()
		return len(w.source.waits) > 2
	})
	require.EqualValues(t, 9, w.inForce.Version())
	require.EqualValues(t, 9, w.watcher.Newest().Version)
	require.Error(t, w.watcher.Adopt(nil))
}

func TestExpiredHistoryIsReadAnew(t *testing.T) {
	w := newWorld(t, false)
	w.source.set(func(s *source) { s.version = 3 })
	w.run(t, w.watcher.RunConfiguration)
	w.until(t, func() bool { return w.inForce.Version() == 3 })
	w.source.set(func(s *source) { s.version, s.expired = 4, true })
	w.until(t, func() bool { return w.inForce.Version() == 4 })
}

// The store once failed to end a wait, and the change came when the wait was over: without the holder's word, a wait must be
// shorter than the time in which a change must be in force.
func TestWaitsAreShortWithoutTheHolder(t *testing.T) {
	for linked, most := range map[bool]time.Duration{false: 2 * time.Second, true: time.Minute} {
		w := newWorld(t, false)
		w.peers.linked = linked
		w.source.set(func(s *source) { s.version = 3 })
		w.run(t, w.watcher.RunConfiguration)
		w.until(t, func() bool {
			w.source.mu.Lock()
			defer w.source.mu.Unlock()
			return len(w.source.waits) > 0
		})
		w.source.mu.Lock()
		require.LessOrEqual(t, w.source.waits[0], most)
		w.source.mu.Unlock()
	}
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	w := newWorld(t, false)
	w.run(t, w.watcher.RunConfiguration)
	w.run(t, w.watcher.RunRunners)
	w.until(t, func() bool { return w.source.reads() > 0 })
	require.False(t, w.watcher.Ready())
	w.source.set(func(s *source) { s.version = 1 })
	w.until(t, w.watcher.Ready)
}

func (s *source) reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullRead
}

// An outage of the store alone makes nothing unready, and another VM's list goes on meanwhile.
func TestOutage(t *testing.T) {
	w := newWorld(t, false)
	w.source.set(func(s *source) { s.version, s.changes = 1, []roster.Change{change("a", 1)} })
	w.run(t, w.watcher.RunConfiguration)
	w.run(t, w.watcher.RunRunners)
	w.until(t, w.watcher.Ready)
	w.watcher.TakeRunners([]roster.Runner{*change("b", 1).Runner})
	require.Contains(t, w.roster.View().All(), "a", "a list of another VM counts only during an outage")
	w.source.set(func(s *source) { s.down = true })
	w.until(t, w.watcher.Out)
	require.True(t, w.watcher.Ready())
	w.watcher.TakeRunners([]roster.Runner{*change("b", 1).Runner})
	require.Contains(t, w.roster.View().All(), "b")
	require.NotContains(t, w.roster.View().All(), "a")
	w.source.set(func(s *source) { s.down = false })
	w.until(t, func() bool { return !w.watcher.Out() })
}

func TestSettlesOnceTheListNoLongerGrows(t *testing.T) {
	w := newWorld(t, true)
	w.source.set(func(s *source) { s.changes = []roster.Change{change("a", 1)} })
	w.run(t, w.watcher.RunRunners)
	w.until(t, func() bool { return len(w.roster.View().All()) == 1 })
	require.False(t, w.watcher.Settled())
	w.until(t, w.watcher.Settled)
}

// A VM that learned every runner from the holder's word must settle too: it may hold the lease next.
func TestSettlesOnTheHoldersWord(t *testing.T) {
	w := newWorld(t, true)
	w.run(t, w.watcher.RunRunners)
	w.until(t, func() bool { return w.source.reads() > 0 })
	w.watcher.TakeChanges([]roster.Change{change("a", 1)})
	w.until(t, w.watcher.Settled)
}

func TestSettledAtOnceAfterARestart(t *testing.T) {
	w := newWorld(t, false)
	w.source.set(func(s *source) { s.changes = []roster.Change{change("a", 1)} })
	w.run(t, w.watcher.RunRunners)
	require.Eventually(t, w.watcher.Settled, waitLimit, tick)
}

func TestChangesAreForwarded(t *testing.T) {
	w := newWorld(t, false)
	w.run(t, w.watcher.RunRunners)
	w.until(t, func() bool { return w.source.reads() > 0 })
	first := change("a", 1)
	first.Runner.InMemory = []string{"m"}
	w.source.set(func(s *source) { s.changes = []roster.Change{first} })
	w.until(t, func() bool {
		w.peers.mu.Lock()
		defer w.peers.mu.Unlock()
		return len(w.peers.forwarded) == 1
	})
	require.Empty(t, w.peers.forwarded[0].Runner.InMemory)
	runner, _ := w.roster.View().Runner("a")
	require.Equal(t, []string{"m"}, runner.InMemory)
	w.source.set(func(s *source) { s.changes = []roster.Change{{ID: "a"}} })
	w.until(t, func() bool {
		w.peers.mu.Lock()
		defer w.peers.mu.Unlock()
		return len(w.peers.forwarded) == 2 && w.peers.forwarded[1].Runner == nil
	})
}

// A VM that waits long for a change, as the holder tells its version, stops waiting once the holder is no longer heard.
func TestLongWaitEndsWithTheLink(t *testing.T) {
	w := newWorld(t, false)
	w.peers.link(true)
	w.source.set(func(s *source) { s.version, s.stuck = 3, true })
	w.run(t, w.watcher.RunConfiguration)
	w.until(t, func() bool { return w.inForce.Version() == 3 && w.source.waited() == 1 })
	w.source.set(func(s *source) { s.version, s.stuck = 4, false })
	require.EqualValues(t, 3, w.inForce.Version())
	w.peers.link(false)
	w.until(t, func() bool { return w.inForce.Version() == 4 })
}

// While the holder tells what it reads, registrations are read seldom; once it is not heard any more, at once.
func TestRegistrationsAreReadAtOnceWithoutTheLink(t *testing.T) {
	w := newWorld(t, false)
	w.peers.link(true)
	w.run(t, w.watcher.RunRunners)
	w.until(t, func() bool { return w.source.reads() == 1 })
	for range 40 {
		w.clock.Advance(50 * time.Millisecond)
		time.Sleep(tick)
	}
	require.Zero(t, w.source.followed())
	w.peers.link(false)
	w.until(t, func() bool { return w.source.followed() > 0 })
}

// A removal that waits for the grace after an outage takes effect when the grace is over, not at the next read.
func TestRemovalAfterAnOutageIsInTime(t *testing.T) {
	w := newWorld(t, false)
	w.peers.link(true)
	w.source.set(func(s *source) { s.changes = []roster.Change{change("a", 1)} })
	w.run(t, w.watcher.RunRunners)
	w.until(t, func() bool { return len(w.roster.View().All()) == 1 })
	w.source.set(func(s *source) { s.down = true })
	w.until(t, w.watcher.Out)
	w.source.set(func(s *source) { s.down = false })
	w.until(t, func() bool { return !w.watcher.Out() })
	read := w.source.followed()
	w.watcher.TakeChanges([]roster.Change{{ID: "a"}})
	require.Len(t, w.roster.View().All(), 1)
	w.until(t, func() bool { return len(w.roster.View().All()) == 0 })
	require.Equal(t, read, w.source.followed())
}

// What a new holder told others before this VM was linked to it is read from the store.
func TestRegistrationsAreReadAtOnceOverANewLink(t *testing.T) {
	w := newWorld(t, false)
	w.peers.link(true)
	w.run(t, w.watcher.RunRunners)
	w.until(t, func() bool { return w.source.reads() == 1 })
	w.peers.link(true)
	for range 20 {
		w.clock.Advance(50 * time.Millisecond)
		time.Sleep(tick)
	}
	require.Eventually(t, func() bool { return w.source.followed() == 1 }, waitLimit, tick)
}

func (s *source) waited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waits)
}

func (s *source) followed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changesRead
}
