package pacing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/pacing"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

var start = time.Unix(1000, 0)

// record records one figure of a runner at a time after start and returns its pace.
func record(b *pacing.Board, figure int, at time.Duration) int {
	b.Record(pacing.Paces{"r1": figure}, start.Add(at))
	return b.Pace("r1")
}

// A slow spell must not count as the pace of a runner, however many VMs see it.
func TestSlowSpellsDoNotCount(t *testing.T) {
	b := pacing.NewBoard()
	require.Equal(t, 150, record(b, 150, 0))
	require.Equal(t, 60, record(b, 60, 700*time.Millisecond))
	random := rand.New(rand.NewPCG(1, 1))
	for at := time.Second; at < 10*time.Minute; at += time.Duration(random.ExpFloat64() * float64(time.Second)) {
		// 15% of the time is in slow spells of 600 ms.
		figure := 60
		if at%(4*time.Second) < 600*time.Millisecond {
			figure = 150
		}
		require.Equal(t, 60, record(b, figure, at), at)
	}
}

// After a time without figures, one from a slow spell must not replace the pace.
func TestPaceOutlastsTimeWithoutFigures(t *testing.T) {
	b := pacing.NewBoard()
	record(b, 60, 0)
	for at := 3 * time.Hour; at < 3*time.Hour+600*time.Millisecond; at += 10 * time.Millisecond {
		require.Equal(t, 60, record(b, 150, at))
	}
	for at := 30 * time.Second; at < time.Hour; at += 30 * time.Second {
		require.Equal(t, 60, record(b, 60, 4*time.Hour+at))
	}
}

// A machine that becomes slow for good must be noticed, and one that becomes fast at once.
func TestPaceFollowsMachine(t *testing.T) {
	b := pacing.NewBoard()
	for at := time.Duration(0); at < 30*time.Second; at += 200 * time.Millisecond {
		record(b, 60, at)
	}
	for at := 30 * time.Second; at < 52*time.Second; at += 200 * time.Millisecond {
		record(b, 160, at)
	}
	require.Equal(t, 160, b.Pace("r1"))
	require.Equal(t, 100, record(b, 100, time.Minute))
}

// VMs are told of changes only, and not of those within the noise of the figures.
func TestOnlyChangesAreSent(t *testing.T) {
	b := pacing.NewBoard()
	require.Nil(t, b.Known())
	require.Nil(t, b.TakeChanged())
	b.Record(pacing.Paces{"r1": 100, "r2": 60}, start)
	require.Equal(t, pacing.Paces{"r1": 100, "r2": 60}, b.TakeChanged())
	require.Nil(t, b.TakeChanged())
	record(b, 96, time.Second)
	require.Nil(t, b.TakeChanged())
	record(b, 95, time.Second)
	require.Equal(t, pacing.Paces{"r1": 95}, b.TakeChanged())
	require.Equal(t, pacing.Paces{"r1": 95, "r2": 60}, b.Known())
}

// A new holder must go on from the paces that its predecessor sent: the first figure that it sees may be from a slow spell.
func TestNewHolderStartsFromKnownPaces(t *testing.T) {
	b := pacing.NewBoard()
	b.Apply(pacing.Paces{"r1": 60})
	require.Equal(t, 60, record(b, 150, 0))
	require.Nil(t, b.TakeChanged())
}

// A former holder that holds the lease again must not send a pace that another holder has replaced.
func TestChangesAreSentWithNewestPace(t *testing.T) {
	b := pacing.NewBoard()
	record(b, 150, 0)
	b.Apply(pacing.Paces{"r1": 60})
	require.Equal(t, pacing.Paces{"r1": 60}, b.TakeChanged())
}

// Impossible figures of other VMs' frames must not count.
func TestImpossibleFiguresAreIgnored(t *testing.T) {
	b := pacing.NewBoard()
	for _, figure := range []int{0, -1, pacing.MaxFigure + 1} {
		b.See("r1", figure, start)
		b.Record(pacing.Paces{"r1": figure}, start)
		b.Apply(pacing.Paces{"r1": figure})
	}
	require.Nil(t, b.Known())
	require.Nil(t, b.TakeSeen(start))
}

// The lowest figure since the last report is reported, once; without a link, old figures are not reported as new ones.
func TestLowestSeenFigureIsReported(t *testing.T) {
	b := pacing.NewBoard()
	require.Nil(t, b.TakeSeen(start))
	b.See("r1", 150, start)
	b.See("r1", 60, start)
	b.See("r1", 150, start)
	require.Equal(t, pacing.Paces{"r1": 60}, b.TakeSeen(start))
	require.Nil(t, b.TakeSeen(start))
	b.See("r1", 60, start)
	b.See("r2", 100, start)
	b.See("r1", 150, start.Add(3*time.Second))
	require.Equal(t, pacing.Paces{"r1": 150}, b.TakeSeen(start.Add(3*time.Second)))
}

// Paces may arrive before the registrations of their runners, and must not outlast them.
func TestPacesOfUnregisteredRunnersAreDropped(t *testing.T) {
	b := pacing.NewBoard()
	b.Apply(pacing.Paces{"r1": 60, "r2": 100})
	registered := func(id string) bool { return id == "r1" }
	b.Prune(registered, start)
	b.Prune(registered, start.Add(30*time.Second))
	require.Equal(t, 100, b.Pace("r2"))
	b.Prune(registered, start.Add(time.Hour))
	require.Equal(t, pacing.Paces{"r1": 60}, b.Known())
}

func TestSummary(t *testing.T) {
	b := pacing.NewBoard()
	runners := []*roster.Runner{{ID: "r1"}, {ID: "r2"}, {ID: "r3"}, {ID: "unknown"}}
	require.Zero(t, b.Summary("s", runners, start))
	b.Apply(pacing.Paces{"r1": 160, "r2": 60, "r3": 80, "elsewhere": 1})
	require.Equal(t, pacing.Summary{Mean: 100, Median: 80}, b.Summary("s", runners, start))
	require.Zero(t, b.Summary("other", nil, start))
}
