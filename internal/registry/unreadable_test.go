package registry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/registry"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// A complete list in which a known runner's newest record can't be read must not remove the runner; its next readable
// registration takes effect, and so does its removal.
func TestUnreadableRecordDoesNotRemoveRunner(t *testing.T) {
	f := newFixture(t, false)
	f.source.update(func(s *fakeSource) {
		s.version = 3
		s.changes = []roster.Change{registration("a", 1), registration("b", 1), registration("c", 1)}
	})
	f.start(t, f.watcher.WatchRunners)
	heartbeat := func(id string) uint64 {
		if runner, known := f.roster.View().Runner(id); known {
			return runner.Heartbeat
		}
		return 0
	}
	f.advanceUntil(t, func() bool { return heartbeat("a") == 1 })
	f.source.update(func(s *fakeSource) {
		s.expired = true
		s.changes = []roster.Change{registration("b", 2)}
		s.skipped = []registry.SkippedRecord{{Key: "a", Reason: errDown}, {Key: "never known", Reason: errDown}}
	})
	f.advanceUntil(t, func() bool { return heartbeat("b") == 2 })
	require.EqualValues(t, 1, heartbeat("a"), "the readable registration stays in effect")
	require.Zero(t, heartbeat("c"), "a runner that is not listed at all is gone")
	require.Zero(t, heartbeat("never known"))
	f.source.update(func(s *fakeSource) { s.changes, s.skipped = []roster.Change{registration("a", 2)}, nil })
	f.advanceUntil(t, func() bool { return heartbeat("a") == 2 })
	f.source.update(func(s *fakeSource) { s.changes = []roster.Change{{ID: "a"}} })
	f.advanceUntil(t, func() bool { return heartbeat("a") == 0 })
}
