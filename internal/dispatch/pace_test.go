package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/loadbalance"
	"github.com/cowsliparch/cowsliparch/internal/pacing"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Of runners whose machines differ in speed, those must be preferred at which fewer streams pause for too long, without notably more
// streams whose first event is late.
func TestFewerStreamsPauseWithKnownPaces(t *testing.T) {
	for name, change := range map[string]func(*pacePattern){
		"quiet":       func(*pacePattern) {},
		"busy":        func(p *pacePattern) { p.perSecond, p.duration = 900, 30*time.Second },
		"holder lost": func(p *pacePattern) { p.holderLostAt = 25 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			pattern := paceFleet
			change(&pattern)
			const seed = 1
			before := newPaceReplay(pattern, seed).run()
			pattern.reportsFigures = true
			got := newPaceReplay(pattern, seed).run()
			t.Logf("three figures: %v", before)
			t.Logf("four figures:  %v", got)
			require.Less(t, got.total(got.paused), 0.75*before.total(before.paused))
			for _, route := range paceRoutes {
				require.LessOrEqual(t, got.share(got.paused, route.name), before.share(before.paused, route.name)+0.005, route.name)
				require.LessOrEqual(t, got.share(got.lateFirst, route.name), before.share(before.lateFirst, route.name)+0.005, route.name)
			}
		})
	}
}

var longPauses = pauseRequirement{route: "long", longest: 200 * time.Millisecond, cost: 400 * time.Millisecond}

// recordLatePauses teaches a tracker that streams at the usual pace pause for 150 ms.
func recordLatePauses(tracker *Tracker) {
	for range 500 {
		tracker.recordPauses("s", longPauses, 150*time.Millisecond, 100, start)
	}
}

// A fleet whose runners send three figures must get the choices that it got before paces were known, for all routes.
func TestChoicesWithThreeFiguresAreUnchanged(t *testing.T) {
	view := viewOf("r1", "r2", "r3", "r4", "r5", "r6")
	numbers := rand.New(rand.NewPCG(1, 1))
	drawn := 0.0
	tracker := NewTracker(RoundTrips{})
	tracker.random = func() float64 { return drawn }
	tracker.recordServiceTime("s", 700*time.Millisecond)
	var picker loadbalance.Picker
	now := start
	for range 2000 {
		now = now.Add(time.Duration(numbers.IntN(50)) * time.Millisecond)
		runner := &roster.Runner{ID: fmt.Sprintf("r%d", 1+numbers.IntN(6))}
		tracker.loadReported(runner, ReportedLoad{Running: numbers.IntN(5), Waiting: numbers.IntN(3), Slots: 4}, now)
		tracker.recordServerError(runner, numbers.IntN(10) == 0, now)
		tracker.recordPauses("s", longPauses, time.Duration(numbers.IntN(400))*time.Millisecond, tracker.paces.board.Pace(runner.ID), now)
		tracker.Prune(view, now)
		tracker.ApplyRequestRate("s", "", 60, now)
		drawn = numbers.Float64()
		needs := requirements{service: "s", limit: 400 * time.Millisecond}
		if numbers.IntN(2) == 0 {
			needs.pauses = longPauses
		}
		got := tracker.choose(view, needs, now)
		var candidates []loadbalance.Candidate
		for _, runner := range view.Service("s") {
			c := loadbalance.Candidate{Slots: 4, ServiceTime: 700 * time.Millisecond}
			if state := tracker.runners[runner.ID]; state != nil {
				c.Base = time.Duration(state.decayedFailureRate(now) * float64(failurePenalty))
				c.Own, c.Others, c.Age = state.ownRequests, state.otherRequests, now.Sub(state.updatedAt)
			}
			candidates = append(candidates, c)
		}
		i, expected := picker.Pick(candidates, drawn)
		require.Equal(t, view.Service("s")[i].ID, got.runner.ID)
		require.Equal(t, expected, got.score)
		require.InDelta(t, picker.Admit(needs.limit, 60), got.admit, 0)
		require.Zero(t, got.pace)
		require.InDelta(t, 1, got.paceFactor, 0)
	}
	require.Nil(t, tracker.TakeSeenPaces(now))
	require.Nil(t, tracker.TakeChangedPaces(now))
	require.Nil(t, tracker.Paces())
}

// The preference for a fast runner is no time that a request waits, so it must not make VMs refuse requests. Routes without a target
// have no preference.
func TestPaceIsAPreferenceOnly(t *testing.T) {
	tracker := NewTracker(RoundTrips{})
	recordLatePauses(tracker)
	view := viewOf("fast", "slow")
	tracker.ApplyPaces(pacing.Paces{"fast": 60, "slow": 160})
	needs := requirements{service: "s", pauses: longPauses}
	for range 20 {
		pick := tracker.choose(view, needs, start)
		require.Equal(t, "fast", pick.runner.ID)
		require.Equal(t, 60, pick.pace)
	}
	needs.tried = []string{"fast"}
	pick := tracker.choose(view, needs, start)
	require.Equal(t, "slow", pick.runner.ID)
	require.Less(t, pick.score, 10*time.Millisecond)
	require.InDelta(t, 160.0/110, pick.paceFactor, 1e-9)
	without := requirements{service: "s", model: "m"}
	tracker.Observe("fast", "m", "", true, start, time.Second)
	tracker.Observe("slow", "m", "", true, start, time.Second)
	chosen := make(map[string]int)
	for range 100 {
		chosen[tracker.choose(view, without, start).runner.ID]++
	}
	require.Greater(t, chosen["slow"], 20)
}

// A runner whose pace isn't known counts as one of the median pace, neither as the best nor as the worst.
func TestUnknownPaceCountsAsMedian(t *testing.T) {
	tracker := NewTracker(RoundTrips{})
	recordLatePauses(tracker)
	view := viewOf("fast", "usual", "slow", "unknown")
	tracker.ApplyPaces(pacing.Paces{"fast": 60, "usual": 100, "slow": 160})
	needs := requirements{service: "s", pauses: longPauses, tried: []string{"fast", "usual"}}
	for range 20 {
		require.Equal(t, "unknown", tracker.choose(view, needs, start).runner.ID)
	}
	needs.tried = []string{"usual", "slow", "unknown"}
	require.Equal(t, 60, tracker.choose(view, needs, start).pace)
}

// A runner without models that is in a slow spell is avoided while its figure is fresh, and judged by its pace afterwards.
func TestFreshFigureOfPlainRunnerCounts(t *testing.T) {
	tracker := NewTracker(RoundTrips{})
	view := viewOf("r1", "r2")
	tracker.ApplyPaces(pacing.Paces{"r1": 60, "r2": 100})
	needs := requirements{service: "s"}
	require.Equal(t, "r1", tracker.choose(view, needs, start).runner.ID)
	tracker.loadReported(&roster.Runner{ID: "r1"}, ReportedLoad{Slots: 4, Figure: 150}, start)
	tracker.loadReported(&roster.Runner{ID: "r2"}, ReportedLoad{Slots: 4}, start)
	require.Equal(t, "r2", tracker.choose(view, needs, start.Add(selfReportTTL/2)).runner.ID)
	require.Equal(t, "r1", tracker.choose(view, needs, start.Add(2*selfReportTTL)).runner.ID)
}

// Requests take longer at slow runners, so those count as full earlier.
func TestQueuesAtSlowRunnersCountLonger(t *testing.T) {
	tracker := NewTracker(RoundTrips{})
	view := viewOf("fast", "slow")
	tracker.ApplyPaces(pacing.Paces{"fast": 60, "slow": 160})
	for _, id := range []string{"fast", "slow"} {
		tracker.Observe(id, "m", "", true, start, time.Second)
		tracker.loadReported(&roster.Runner{ID: id}, ReportedLoad{Running: 4, Waiting: 4, Slots: 4}, start)
	}
	for range 20 {
		require.Equal(t, "fast", tracker.choose(view, requirements{service: "s", model: "m"}, start).runner.ID)
	}
}
