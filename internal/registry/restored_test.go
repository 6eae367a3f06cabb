package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// A store that was restored from a copy lacks the newest registrations until the runners renew them. Nobody may take these runners for
// gone, nor an older configuration for the one in force.
func TestRestoredStoreRemovesNothingAtOnce(t *testing.T) {
	f := newFixture(t, false)
	f.source.update(func(s *fakeSource) {
		s.era, s.version = 1, 5
		s.changes = []roster.Change{registration("a", 1), registration("b", 1), registration("c", 1)}
	})
	f.start(t, f.watcher.WatchConfiguration)
	f.start(t, f.watcher.WatchRunners)
	known := func(id string) bool {
		_, ok := f.roster.View().Runner(id)
		return ok
	}
	f.advanceUntil(t, func() bool { return known("a") && f.active.Version() == 5 })
	f.source.update(func(s *fakeSource) {
		s.era, s.version = 2, 4
		s.changes = []roster.Change{registration("a", 1)}
	})
	reads := f.source.fullReadCount()
	f.advanceUntil(t, func() bool { return f.source.fullReadCount() > reads })
	restored := f.clock.Now()
	f.source.update(func(s *fakeSource) { s.changes = []roster.Change{registration("a", 2), registration("b", 2)} })
	f.advanceUntil(t, func() bool { return !known("c") })
	require.GreaterOrEqual(t, f.clock.Since(restored), time.Second)
	require.True(t, known("b"))
	require.EqualValues(t, 5, f.active.Version())
	f.source.update(func(s *fakeSource) { s.version = 6 })
	f.advanceUntil(t, func() bool { return f.active.Version() == 6 })
}
