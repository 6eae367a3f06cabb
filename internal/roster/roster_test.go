package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

var start = time.Unix(1000, 0)

func entry(id string, born int64, heartbeat uint64) roster.Change {
	return roster.Change{
		ID: id,
		Runner: &roster.Runner{
			ID:        id,
			Service:   "s",
			Born:      born,
			Heartbeat: heartbeat,
		},
	}
}

func gone(id string) roster.Change { return roster.Change{ID: id} }

func known(r *roster.Roster, id string) bool {
	_, ok := r.View().Runner(id)
	return ok
}

func TestOlderRegistrationsDoNotCount(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{entry("a", 5, 7)}, start)
	draining := entry("a", 5, 6)
	draining.Runner.Draining = true
	former := entry("a", 4, 99)
	former.Runner.Draining = true
	require.Empty(t, r.Apply([]roster.Change{draining, former, entry("a", 5, 7)}, start))
	runner, _ := r.View().Runner("a")
	require.False(t, runner.Draining)
	require.EqualValues(t, 5, runner.Born)
	updates := r.Apply([]roster.Change{entry("a", 6, 1)}, start)
	require.Len(t, updates, 1)
	require.EqualValues(t, 5, updates[0].Before.Born)
}

func TestRemovalCountsAtOnce(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{entry("a", 1, 1)}, start)
	require.Len(t, r.Apply([]roster.Change{gone("a"), gone("b")}, start), 1)
	require.False(t, known(r, "a"))
}

// Entries that lapsed while the store was away come back within two seconds of its return; what is missing then is gone.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{entry("back", 1, 1), entry("lost", 1, 1)}, start)
	r.Outage(true, start)
	r.Outage(false, start.Add(5*time.Second))
	at := start.Add(5 * time.Second)
	r.Apply([]roster.Change{gone("back"), gone("lost")}, at)
	require.True(t, known(r, "back"))
	require.True(t, known(r, "lost"))
	r.Apply([]roster.Change{entry("back", 1, 2)}, at.Add(time.Second))
	require.Empty(t, r.Expire(at.Add(1900*time.Millisecond)))
	require.Len(t, r.Expire(at.Add(2100*time.Millisecond)), 1)
	require.True(t, known(r, "back"))
	require.False(t, known(r, "lost"))
}

func TestRemovalLongAfterAnOutageCountsAtOnce(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{entry("a", 1, 1)}, start)
	r.Outage(true, start)
	r.Outage(false, start.Add(time.Second))
	r.Apply([]roster.Change{gone("a")}, start.Add(4*time.Second))
	require.False(t, known(r, "a"))
}

func TestReplaceRemovesWhatIsNotListed(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{entry("a", 1, 1), entry("b", 1, 1)}, start)
	r.Replace([]*roster.Runner{entry("b", 1, 2).Runner, entry("c", 1, 1).Runner}, start)
	require.False(t, known(r, "a"))
	require.True(t, known(r, "b"))
	require.True(t, known(r, "c"))
}

// While the store can't be read here, another VM's list counts; it has read the removals.
func TestAdopt(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{entry("a", 1, 5), entry("b", 1, 5)}, start)
	r.Outage(true, start)
	draining := entry("b", 1, 6)
	draining.Runner.Draining = true
	r.Adopt([]*roster.Runner{draining.Runner, entry("c", 1, 1).Runner}, start)
	require.False(t, known(r, "a"))
	require.True(t, known(r, "c"))
	b, _ := r.View().Runner("b")
	require.True(t, b.Draining)
}

func TestViewsDoNotChange(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{entry("b", 1, 1), entry("a", 1, 1)}, start)
	before := r.View()
	r.Apply([]roster.Change{gone("a")}, start)
	require.Len(t, before.Service("s"), 2)
	require.Equal(t, "a", before.Service("s")[0].ID)
	require.Len(t, r.View().Service("s"), 1)
}

func TestHolds(t *testing.T) {
	r := roster.Runner{Models: []roster.Holding{{Model: "m", Adapters: []string{"a1"}}}}
	require.True(t, r.Holds("m", ""))
	require.True(t, r.Holds("m", "a1"))
	require.False(t, r.Holds("m", "a2"))
	require.False(t, r.Holds("n", ""))
}
