package promptguard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

func TestVMWithoutHolderConvictsAlone(t *testing.T) {
	c := newCluster(t, 2)
	v := c.vms[1]
	v.cutOff = true
	for _, runner := range []string{"r1", "r2", "r3"} {
		c.crash(v, runner, "deadly")
	}
	require.Equal(t, 1, c.quarantined("deadly"))
	v.cutOff = false
	c.link(v)
	c.settle()
	require.Equal(t, 1, c.quarantined("deadly"), "the holder awaits answers that other VMs know")
	c.pass(time.Second)
	require.Equal(t, 2, c.quarantined("deadly"), "the holder gets the evidence over the new link")
}

// A VM's own verdict ends if the lease holder, who knows more, does not share it.
func TestHolderOverrulesVM(t *testing.T) {
	c := newCluster(t, 2)
	v := c.vms[1]
	v.cutOff = true
	for _, runner := range []string{"r1", "r2", "r3"} {
		c.crash(v, runner, "sound")
	}
	c.crash(c.vms[0], "r9", "sound")
	c.answer(c.vms[0], "sound")
	v.cutOff = false
	c.link(v)
	c.pass(3 * time.Second)
	require.Zero(t, c.quarantined("sound"))
}

// The lease holder knows answers on other VMs, so a VM linked to it does not refuse requests on its own evidence.
func TestLinkedVMDoesNotDecide(t *testing.T) {
	c := newCluster(t, 2)
	for _, runner := range []string{"r1", "r2", "r3"} {
		c.crash(c.vms[1], runner, "sound")
		c.answer(c.vms[0], "sound")
	}
	require.Zero(t, c.quarantined("sound"))
	require.False(t, c.vms[1].Suspected(prompt("sound")))
}

// A VM that convicted a section by itself keeps the lease holder's verdict on it, even if its own evidence turns out to be weak.
func TestOwnConvictionGivesWayToVerdictOfHolder(t *testing.T) {
	c := newCluster(t, 3)
	v := c.vms[1]
	v.cutOff = true
	for _, runner := range []string{"r1", "r2", "r3"} {
		c.crash(v, runner, "deadly")
	}
	for _, runner := range []string{"r4", "r5", "r6"} {
		c.crash(c.vms[0], runner, "deadly")
	}
	v.cutOff = false
	c.link(v)
	c.pass(3 * time.Second)
	for _, runner := range []string{"r2", "r3"} {
		c.received[runner] = c.clock.Now()
		v.followed = append(v.followed, quarantine.Strike{
			Incarnation: quarantine.Incarnation{Runner: runner},
			At:          c.clock.Now().Add(-600 * time.Millisecond),
		})
	}
	v.followOnce()
	c.settle()
	require.Equal(t, 3, c.quarantined("deadly"))
}

func TestNewHolderKnowsQuarantine(t *testing.T) {
	c := newCluster(t, 3)
	c.convict("deadly")
	require.Equal(t, 3, c.quarantined("deadly"))
	clear(c.stored)
	c.vms = c.vms[1:]
	c.elect(c.start())
	c.pass(time.Second)
	require.Equal(t, 3, c.quarantined("deadly"))
	require.Contains(t, c.stored, "deadly", "the new holder saves what the store lacks")
}

// A new holder gets the recent strikes of all VMs again.
func TestNewHolderKnowsStrikes(t *testing.T) {
	c := newCluster(t, 3)
	c.crash(c.vms[1], "r1", "deadly")
	c.crash(c.vms[2], "r2", "deadly")
	c.vms = c.vms[1:]
	c.elect(c.vms[0])
	c.pass(time.Second)
	c.crash(c.vms[1], "r3", "deadly")
	require.Equal(t, 2, c.quarantined("deadly"))
}

func TestQuarantineOutlivesAllVMs(t *testing.T) {
	c := newCluster(t, 3)
	c.convict("deadly")
	require.Equal(t, 1, c.writes)
	c.vms = nil
	c.elect(nil)
	c.clock.Advance(-3 * time.Second)
	c.start()
	c.start()
	require.Equal(t, 2, c.quarantined("deadly"))
	c.elect(c.vms[0])
	c.settle()
	require.Equal(t, 2, c.quarantined("deadly"))
	require.Equal(t, 1, c.writes)
}

// A record that has not been needed for long is deleted from the store.
func TestObsoleteRecordIsDeleted(t *testing.T) {
	c := newCluster(t, 1)
	c.convict("deadly")
	c.clock.Advance(25 * time.Hour)
	c.pass(time.Second)
	require.Empty(t, c.stored)
	require.Equal(t, 2, c.writes)
	c.pass(time.Second)
	require.Equal(t, 2, c.writes)
}

func TestAnswerReleasesSection(t *testing.T) {
	c := newCluster(t, 3)
	c.convict("sound")
	require.Equal(t, 3, c.quarantined("sound"))
	c.answer(c.vms[2], "sound")
	require.Zero(t, c.quarantined("sound"))
	released := c.stored["sound"]
	require.True(t, released.Released())
	c.start()
	c.link(c.vms[3])
	require.Zero(t, c.quarantined("sound"))
}

// A restored store names a section that was released since as convicted. Neither the holder nor a new one may follow it.
func TestReleaseOutlastsRestoredStore(t *testing.T) {
	c := newCluster(t, 3)
	c.convict("sound")
	convicted := c.stored["sound"]
	c.answer(c.vms[2], "sound")
	for _, holder := range c.vms[:2] {
		require.True(t, c.stored["sound"].Released())
		c.stored["sound"] = convicted
		c.elect(holder)
		c.pass(time.Second)
		require.Zero(t, c.quarantined("sound"))
	}
	require.True(t, c.stored["sound"].Released())
}

// A section that is no longer requested is tried again; one strike puts it back, for longer.
func TestExpiredSectionIsConvictedByOneStrike(t *testing.T) {
	c := newCluster(t, 3)
	c.convict("deadly")
	c.pass(5 * time.Minute)
	_, refused := c.vms[1].Quarantined(prompt("deadly"))
	require.True(t, refused)
	c.pass(9 * time.Minute)
	require.Contains(t, c.vms[2].view.Load().quarantined, "deadly", "extended by the request on another VM")
	c.pass(2 * time.Minute)
	require.Zero(t, c.quarantined("deadly"))
	c.crash(c.vms[2], "r4", "deadly")
	require.Equal(t, 3, c.quarantined("deadly"))
	require.Equal(t, 2, c.stored["deadly"].Convictions)
	require.LessOrEqual(t, c.writes, 3)
}

// Connections that break off though their runners go on registering are no reason for a quarantine.
func TestLivingRunnersReleaseSection(t *testing.T) {
	c := newCluster(t, 2)
	heartbeat := uint64(0)
	register := func() {
		heartbeat++
		var changes []roster.Change
		for _, id := range []string{"r1", "r2", "r3"} {
			changes = append(changes, roster.Change{
				ID: id,
				Runner: &roster.Runner{
					ID:        id,
					Heartbeat: heartbeat,
				},
			})
		}
		c.roster.Apply(changes, c.clock.Now())
	}
	register()
	c.convict("sound")
	register()
	c.pass(20 * time.Second)
	require.Equal(t, 2, c.quarantined("sound"), "a late registration does not show that a runner runs")
	for range 4 {
		register()
		c.pass(time.Second)
	}
	require.Zero(t, c.quarantined("sound"))
}

// A runner that goes on sending data on other connections has not crashed.
func TestDataOfRunnerRefutesStrikes(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		want  int
	}{
		"sent before the crash":      {after: 300 * time.Millisecond, want: 2},
		"sent later":                 {after: 600 * time.Millisecond},
		"sent by a next incarnation": {after: 2 * time.Second, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2)
			for _, runner := range []string{"r1", "r2", "r3"} {
				c.crash(c.vms[1], runner, "s")
				c.clock.Advance(test.after)
				c.received[runner] = c.clock.Now()
				c.clock.Advance(100 * time.Millisecond)
				c.vms[1].followOnce()
				c.settle()
			}
			require.Equal(t, test.want, c.quarantined("s"))
		})
	}
}

// Records that were written by a faster clock, or are no longer needed, do no harm.
func TestStoredRecordsOfOtherClocks(t *testing.T) {
	c := newCluster(t, 1)
	now := c.clock.Now()
	c.stored["ahead"] = quarantine.Entry{Section: "ahead", Convictions: 1, ConvictedAt: now.Add(5 * time.Second), RequestedAt: now.Add(5 * time.Second)}
	c.stored["expired"] = quarantine.Entry{Section: "expired", Convictions: 1, ConvictedAt: now.Add(-time.Hour), RequestedAt: now.Add(-time.Hour)}
	c.stored["obsolete"] = quarantine.Entry{Section: "obsolete", Convictions: 1, ConvictedAt: now.Add(-48 * time.Hour), RequestedAt: now.Add(-48 * time.Hour)}
	c.vms[0].read()
	c.settle()
	require.Equal(t, 1, c.quarantined("ahead"))
	require.Zero(t, c.quarantined("expired"))
	require.NotContains(t, c.stored, "obsolete")
	c.answer(c.vms[0], "ahead")
	require.Zero(t, c.quarantined("ahead"))
}
