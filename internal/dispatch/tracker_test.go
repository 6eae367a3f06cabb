package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

var start = time.Unix(1000, 0)

func viewOf(ids ...string) *roster.View {
	r := roster.New()
	for _, id := range ids {
		r.Apply([]roster.Change{{ID: id, Runner: &roster.Runner{ID: id, Service: "s", Slots: 4}}}, start)
	}
	return r.View()
}

// The sum that all VMs told counts until the runner itself speaks, and own requests sent since on top of it.
func TestOccupancyOfAllVMs(t *testing.T) {
	tracker := NewTracker(Distances{})
	use := roster.Use{Runner: "r1", Model: "m", Adapter: "a1"}
	tracker.sent(use, start)
	require.Equal(t, roster.Occupancy{"r1": 1}, tracker.Occupancy())
	require.Equal(t, []roster.Use{use}, tracker.Uses())
	tracker.TakeOccupancy(roster.Occupancy{"r1": 5, "r2": 3}, start)
	tracker.sent(use, start)
	require.Equal(t, 6, tracker.loads["r1"].occupied())
	require.Equal(t, 3, tracker.loads["r2"].occupied())
	tracker.ended(use, time.Second)
	tracker.ended(use, time.Second)
	require.Equal(t, 4, tracker.loads["r1"].occupied())
	require.Empty(t, tracker.Uses())
}

// What a runner said of itself just now goes before an older sum.
func TestRunnersOwnWordGoesFirst(t *testing.T) {
	tracker := NewTracker(Distances{})
	tracker.told(&roster.Runner{ID: "r1"}, Figures{Running: 2}, start)
	tracker.TakeOccupancy(roster.Occupancy{"r1": 9}, start.Add(ownWordFresh/2))
	require.Equal(t, 2, tracker.loads["r1"].occupied())
	tracker.TakeOccupancy(roster.Occupancy{"r1": 9}, start.Add(2*ownWordFresh))
	require.Equal(t, 9, tracker.loads["r1"].occupied())
}

// A full runner that only other VMs use is passed by.
func TestChoiceGoesByTheSum(t *testing.T) {
	tracker := NewTracker(Distances{})
	tracker.TakeOccupancy(roster.Occupancy{"r1": 12}, start)
	for range 20 {
		require.Equal(t, "r2", tracker.choose(viewOf("r1", "r2"), wanted{service: "s"}, start).runner.ID)
	}
}

func TestRunnersThatAreGoneAreForgotten(t *testing.T) {
	tracker := NewTracker(Distances{})
	busy := roster.Use{Runner: "r3"}
	tracker.sent(busy, start)
	tracker.TakeOccupancy(roster.Occupancy{"r1": 1, "r2": 1}, start)
	tracker.Keep(viewOf("r1"), start)
	require.Contains(t, tracker.loads, "r1")
	require.NotContains(t, tracker.loads, "r2")
	require.Contains(t, tracker.loads, "r3")
}

// A runner that got a model lately is chosen before its registration shows it, and not once the word is old.
func TestLearnedRunnerIsChosen(t *testing.T) {
	tracker := NewTracker(Distances{})
	w := wanted{service: "s", model: "m"}
	require.Nil(t, tracker.choose(viewOf("r1"), w, start).runner)
	tracker.Learn("r1", "m", "", true, start, time.Second)
	tracker.Keep(viewOf("r1"), start)
	require.Equal(t, "r1", tracker.choose(viewOf("r1"), w, start).runner.ID)
	later := start.Add(2 * time.Second)
	require.Nil(t, tracker.choose(viewOf("r1"), w, later).runner)
	tracker.Keep(viewOf("r1"), later)
	require.Empty(t, tracker.noted)
}

func BenchmarkChoose(b *testing.B) {
	r := roster.New()
	var changes []roster.Change
	for i := range 600 {
		id := "i-" + time.Duration(i).String()
		changes = append(changes, roster.Change{ID: id, Runner: &roster.Runner{
			ID:      id,
			Service: "s",
			Slots:   16,
			Models:  []roster.Holding{{Model: "m" + time.Duration(3*i).String()}, {Model: "m" + time.Duration(3*i+1).String()}, {Model: "m" + time.Duration(3*i+2).String()}},
		}})
	}
	r.Apply(changes, start)
	tracker := NewTracker(Distances{})
	view := r.View()
	w := wanted{service: "s", model: "m" + time.Duration(900).String()}
	b.ReportAllocs()
	for b.Loop() {
		tracker.choose(view, w, start)
	}
}
