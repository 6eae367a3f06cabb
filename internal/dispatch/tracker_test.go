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

// The total of all VMs counts until the runner itself reports, plus this VM's requests since the last announcement.
func TestInFlightIncludesOtherVMs(t *testing.T) {
	tracker := NewTracker(RoundTrips{})
	use := roster.ModelUse{Runner: "r1", Model: "m", Adapter: "a1"}
	tracker.requestSent(use, start)
	require.Equal(t, roster.Occupancy{"r1": 1}, tracker.Occupancy())
	require.Equal(t, []roster.ModelUse{use}, tracker.ModelsInUse())
	tracker.ApplyOccupancy(roster.Occupancy{"r1": 5, "r2": 3}, start)
	tracker.requestSent(use, start)
	require.Equal(t, 6, tracker.runners["r1"].inFlight())
	require.Equal(t, 3, tracker.runners["r2"].inFlight())
	tracker.requestEnded(use)
	tracker.requestEnded(use)
	require.Equal(t, 4, tracker.runners["r1"].inFlight())
	require.Empty(t, tracker.ModelsInUse())
}

// A runner's own recent report takes precedence over an older total.
func TestRecentReportTakesPrecedence(t *testing.T) {
	tracker := NewTracker(RoundTrips{})
	tracker.loadReported(&roster.Runner{ID: "r1"}, ReportedLoad{Running: 2}, start)
	tracker.ApplyOccupancy(roster.Occupancy{"r1": 9}, start.Add(selfReportTTL/2))
	require.Equal(t, 2, tracker.runners["r1"].inFlight())
	tracker.ApplyOccupancy(roster.Occupancy{"r1": 9}, start.Add(2*selfReportTTL))
	require.Equal(t, 9, tracker.runners["r1"].inFlight())
}

// A full runner is passed over even if only other VMs use it.
func TestChoiceCountsRequestsOfAllVMs(t *testing.T) {
	tracker := NewTracker(RoundTrips{})
	tracker.ApplyOccupancy(roster.Occupancy{"r1": 12}, start)
	for range 20 {
		require.Equal(t, "r2", tracker.choose(viewOf("r1", "r2"), requirements{service: "s"}, start).runner.ID)
	}
}

func TestStateOfUnregisteredRunnersIsDropped(t *testing.T) {
	tracker := NewTracker(RoundTrips{})
	busy := roster.ModelUse{Runner: "r3"}
	tracker.requestSent(busy, start)
	tracker.ApplyOccupancy(roster.Occupancy{"r1": 1, "r2": 1}, start)
	tracker.Prune(viewOf("r1"), start)
	require.Contains(t, tracker.runners, "r1")
	require.NotContains(t, tracker.runners, "r2")
	require.Contains(t, tracker.runners, "r3")
}

// A runner that just loaded a model is chosen before its registration shows it, but not after the observation has expired.
func TestObservedRunnerIsChosen(t *testing.T) {
	tracker := NewTracker(RoundTrips{})
	needs := requirements{service: "s", model: "m"}
	require.Nil(t, tracker.choose(viewOf("r1"), needs, start).runner)
	tracker.Observe("r1", "m", "", true, start, time.Second)
	tracker.Prune(viewOf("r1"), start)
	require.Equal(t, "r1", tracker.choose(viewOf("r1"), needs, start).runner.ID)
	later := start.Add(2 * time.Second)
	require.Nil(t, tracker.choose(viewOf("r1"), needs, later).runner)
	tracker.Prune(viewOf("r1"), later)
	require.Empty(t, tracker.observed)
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
			Models:  []roster.LoadedModel{{Model: "m" + time.Duration(3*i).String()}, {Model: "m" + time.Duration(3*i+1).String()}, {Model: "m" + time.Duration(3*i+2).String()}},
		}})
	}
	r.Apply(changes, start)
	tracker := NewTracker(RoundTrips{})
	view := r.View()
	needs := requirements{service: "s", model: "m" + time.Duration(900).String()}
	b.ReportAllocs()
	for b.Loop() {
		tracker.choose(view, needs, start)
	}
}
