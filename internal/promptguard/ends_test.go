package promptguard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// end has an answer of a VM end with its connection, which nothing else marks as its end.
func (c *fakeCluster) end(v *vm, runner string, ids ...string) {
	sentAt := c.clock.Now()
	c.pass(time.Second)
	c.received[runner] = c.clock.Now()
	v.RecordUnmarkedEnd(&roster.Runner{ID: runner}, prompt(ids...), quarantine.NewProgress(sentAt).WithData(c.clock.Now()), c.clock.Now())
	c.settle()
}

// A section whose crashes look like whole answers must be found by what becomes of the runners.
func TestEndsAtCrashedRunnersAreStrikes(t *testing.T) {
	c := newCluster(t, 2)
	v := c.vms[1]
	for _, runner := range []string{"r1", "r2", "r3"} {
		c.end(v, runner, "deadly")
		require.Zero(t, c.quarantined("deadly"))
		v.RecordUnreachable(&roster.Runner{ID: runner})
		c.settle()
	}
	require.Equal(t, 2, c.quarantined("deadly"))
}

// Another connection that breaks off at the runner shows its crash as well.
func TestEndsBesideBrokenConnectionsAreStrikes(t *testing.T) {
	c := newCluster(t, 2)
	v := c.vms[1]
	for _, runner := range []string{"r1", "r2", "r3"} {
		c.end(v, runner, "deadly")
		v.RecordStrike(&roster.Runner{ID: runner}, prompt("other-"+runner), quarantine.NewProgress(c.clock.Now()), c.clock.Now())
		c.settle()
	}
	require.Equal(t, 2, c.quarantined("deadly"))
}

// Answers of a runner that runs on are whole, and clear their sections.
func TestEndsAtLivingRunnersAreSuccesses(t *testing.T) {
	c := newCluster(t, 2)
	v := c.vms[1]
	begun := quarantine.NewProgress(c.clock.Now()).WithData(c.clock.Now())
	v.RecordStrike(&roster.Runner{ID: "r0"}, prompt("sound"), begun, c.clock.Now())
	c.settle()
	require.Contains(t, v.view.Load().watched, "sound")
	c.end(v, "r1", "sound")
	c.received["r1"] = c.clock.Now().Add(500 * time.Millisecond)
	c.clock.Advance(600 * time.Millisecond)
	v.followOnce()
	c.settle()
	v.RecordUnreachable(&roster.Runner{ID: "r1"})
	c.settle()
	require.NotContains(t, v.view.Load().watched, "sound")
}

// The memory of ends is bounded, in time and number.
func TestEndsAreForgotten(t *testing.T) {
	c := newCluster(t, 2)
	v := c.vms[1]
	for range maxEnds + 10 {
		v.RecordUnmarkedEnd(&roster.Runner{ID: "r1"}, prompt("a"), quarantine.NewProgress(c.clock.Now()).WithData(c.clock.Now()), c.clock.Now())
	}
	require.Len(t, v.ends, maxEnds)
	c.clock.Advance(endTTL + time.Second)
	v.followOnce()
	require.Empty(t, v.ends)
}
