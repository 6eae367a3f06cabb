package roster_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

var start = time.Unix(1000, 0)

func registration(id string, incarnation int64, heartbeat uint64) roster.Change {
	return roster.Change{
		ID: id,
		Runner: &roster.Runner{
			ID:          id,
			Service:     "s",
			Incarnation: incarnation,
			Heartbeat:   heartbeat,
		},
	}
}

func removal(id string) roster.Change { return roster.Change{ID: id} }

func isKnown(r *roster.Roster, id string) bool {
	_, ok := r.View().Runner(id)
	return ok
}

func TestOlderRegistrationsAreIgnored(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{registration("a", 5, 7)}, start)
	draining := registration("a", 5, 6)
	draining.Runner.Draining = true
	earlierIncarnation := registration("a", 4, 99)
	earlierIncarnation.Runner.Draining = true
	require.Empty(t, r.Apply([]roster.Change{draining, earlierIncarnation, registration("a", 5, 7)}, start))
	runner, _ := r.View().Runner("a")
	require.False(t, runner.Draining)
	require.EqualValues(t, 5, runner.Incarnation)
	updates := r.Apply([]roster.Change{registration("a", 6, 1)}, start)
	require.Len(t, updates, 1)
	require.EqualValues(t, 5, updates[0].Before.Incarnation)
}

func TestRemovalTakesEffectAtOnce(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{registration("a", 1, 1)}, start)
	require.Len(t, r.Apply([]roster.Change{removal("a"), removal("b")}, start), 1)
	require.False(t, isKnown(r, "a"))
}

// A store that comes back from a copy still has the registration of a runner that has left since, and may have that of an earlier
// incarnation. One that goes on registers again.
func TestRemovedRunnerDoesNotReturnWithCopy(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{registration("left", 5, 7), registration("back", 5, 7)}, start)
	r.Apply([]roster.Change{removal("left"), removal("back")}, start)
	restored := start.Add(time.Second)
	r.StoreRestored(restored)
	r.SetStoreUnavailable(false, restored)
	copied := registration("left", 5, 6)
	require.Empty(t, r.Replace([]*roster.Runner{copied.Runner, registration("back", 4, 9).Runner}, restored))
	require.False(t, isKnown(r, "left"))
	require.False(t, isKnown(r, "back"))
	r.Apply([]roster.Change{registration("back", 5, 8)}, restored.Add(time.Second))
	require.True(t, isKnown(r, "back"))
	r.Apply([]roster.Change{copied}, restored.Add(time.Hour))
	require.True(t, isKnown(r, "left"), "what was removed long ago is forgotten")
}

// Without a restored store, a VM follows what it reads: another VM may know an older registration of a runner.
func TestRemovedRunnerReturns(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{registration("a", 5, 7)}, start)
	r.ReplaceFromPeer(nil, start)
	require.False(t, isKnown(r, "a"))
	r.ReplaceFromPeer([]*roster.Runner{registration("a", 5, 6).Runner}, start)
	require.True(t, isKnown(r, "a"))
	r.Apply([]roster.Change{removal("a"), registration("a", 5, 6)}, start)
	require.True(t, isKnown(r, "a"))
}

// Registrations that expired during a store outage are renewed within two seconds after it. A runner that did not renew its
// registration by then is dropped.
func TestRemovalIsDeferredAfterOutage(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{registration("back", 1, 1), registration("lost", 1, 1)}, start)
	r.SetStoreUnavailable(true, start)
	r.SetStoreUnavailable(false, start.Add(5*time.Second))
	restored := start.Add(5 * time.Second)
	r.Apply([]roster.Change{removal("back"), removal("lost")}, restored)
	require.True(t, isKnown(r, "back"))
	require.True(t, isKnown(r, "lost"))
	r.Apply([]roster.Change{registration("back", 1, 2)}, restored.Add(time.Second))
	require.Empty(t, r.ApplyDeferredRemovals(restored.Add(1900*time.Millisecond)))
	require.Len(t, r.ApplyDeferredRemovals(restored.Add(2100*time.Millisecond)), 1)
	require.True(t, isKnown(r, "back"))
	require.False(t, isKnown(r, "lost"))
}

func TestRemovalLongAfterOutageTakesEffectAtOnce(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{registration("a", 1, 1)}, start)
	r.SetStoreUnavailable(true, start)
	r.SetStoreUnavailable(false, start.Add(time.Second))
	r.Apply([]roster.Change{removal("a")}, start.Add(4*time.Second))
	require.False(t, isKnown(r, "a"))
}

func TestReplaceRemovesUnlistedRunners(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{registration("a", 1, 1), registration("b", 1, 1)}, start)
	r.Replace([]*roster.Runner{registration("b", 1, 2).Runner, registration("c", 1, 1).Runner}, start)
	require.False(t, isKnown(r, "a"))
	require.True(t, isKnown(r, "b"))
	require.True(t, isKnown(r, "c"))
}

// While this VM can't read the store, another VM's list also drops runners, because that VM has read their removals.
func TestReplaceFromPeerAppliesList(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{registration("a", 1, 5), registration("b", 1, 5)}, start)
	r.SetStoreUnavailable(true, start)
	draining := registration("b", 1, 6)
	draining.Runner.Draining = true
	r.ReplaceFromPeer([]*roster.Runner{draining.Runner, registration("c", 1, 1).Runner}, start)
	require.False(t, isKnown(r, "a"))
	require.True(t, isKnown(r, "c"))
	b, _ := r.View().Runner("b")
	require.True(t, b.Draining)
}

func TestViewIsImmutable(t *testing.T) {
	r := roster.New()
	r.Apply([]roster.Change{registration("b", 1, 1), registration("a", 1, 1)}, start)
	before := r.View()
	r.Apply([]roster.Change{removal("a")}, start)
	require.Len(t, before.Service("s"), 2)
	require.Equal(t, "a", before.Service("s")[0].ID)
	require.Len(t, r.View().Service("s"), 1)
}

func TestHoldsModelAndAdapter(t *testing.T) {
	r := roster.Runner{Models: []roster.LoadedModel{{Model: "m", Adapters: []string{"a1"}}}}
	require.True(t, r.HasLoaded("m", ""))
	require.True(t, r.HasLoaded("m", "a1"))
	require.False(t, r.HasLoaded("m", "a2"))
	require.False(t, r.HasLoaded("n", ""))
}

// Whatever other VMs need of a registration counts as a change of state when it changes.
func TestChangesOfRegistrationAreUpdates(t *testing.T) {
	for name, change := range map[string]func(*roster.Runner){
		"slots":          func(r *roster.Runner) { r.Slots = 9 },
		"service":        func(r *roster.Runner) { r.Service = "other" },
		"failure domain": func(r *roster.Runner) { r.FailureDomain = "z" },
		"short notice":   func(r *roster.Runner) { r.Remaining = time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			before := &roster.Runner{ID: "a", Service: "s", Slots: 8, FailureDomain: "d", Heartbeat: 1}
			now := time.Unix(1000, 0)
			r.Apply([]roster.Change{{ID: "a", Runner: before}}, now)
			after := *before
			after.Heartbeat = 2
			require.Empty(t, r.Apply([]roster.Change{{ID: "a", Runner: &after}}, now), "a mere heartbeat")
			changed := after
			changed.Heartbeat = 3
			change(&changed)
			require.Len(t, r.Apply([]roster.Change{{ID: "a", Runner: &changed}}, now), 1)
		})
	}
}

// VMs of an earlier build decode registrations as arrays of a fixed length.
func TestReleaseIsNotEncoded(t *testing.T) {
	encoded, err := cbor.Marshal(roster.Runner{ID: "a", Release: "v1"})
	require.NoError(t, err)
	without, err := cbor.Marshal(roster.Runner{ID: "a"})
	require.NoError(t, err)
	require.Equal(t, without, encoded)
}
