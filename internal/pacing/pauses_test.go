package pacing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/pacing"
)

// lateShare predicts for streams that must not pause for over 200 ms.
func lateShare(p *pacing.Pauses, route string, pace int) float64 {
	prediction := p.Predict("s", route, 200*time.Millisecond)
	return prediction.LateShare(pace)
}

// Learned at the runners of one pace, the shares at those of other paces must be near those of the trace: 4%, 14% and 36% of long
// drafts at the paces 60, 100 and 160.
func TestSharesOfTrace(t *testing.T) {
	p := pacing.NewPauses()
	random := rand.New(rand.NewPCG(1, 1))
	for range 4000 {
		// The longest pause exceeds 125, 200 and 333 ms at the usual pace with these shares.
		pause := 333 + 300*random.Float64()
		switch r := random.Float64(); {
		case r < 0.64:
			pause = 20 + 105*random.Float64()
		case r < 0.86:
			pause = 125 + 75*random.Float64()
		case r < 0.96:
			pause = 200 + 133*random.Float64()
		}
		pace := []int{60, 100, 160}[random.IntN(3)]
		p.Record("s", "long", time.Duration(pause*float64(pace)/100*float64(time.Millisecond)), pace, start)
	}
	for pace, share := range map[int]float64{60: 0.04, 100: 0.14, 160: 0.36} {
		require.InDelta(t, share, lateShare(p, "long", pace), 0.06, pace)
	}
}

// A slower runner must never be predicted to be better.
func TestShareGrowsWithPace(t *testing.T) {
	p := pacing.NewPauses()
	random := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		p.Record("s", "long", time.Duration(random.ExpFloat64()*float64(100*time.Millisecond)), 100, start)
	}
	before := 0.0
	for pace := 1; pace < 3000; pace++ {
		share := lateShare(p, "long", pace)
		require.GreaterOrEqual(t, share, before, pace)
		require.LessOrEqual(t, share, 1.0)
		before = share
	}
	require.Greater(t, before, 0.9)
}

// A few streams must not decide alone: a route begins as the service's others, and a service with a share in proportion to the pace, which
// prefers fast runners from the first stream on.
func TestFewStreamsCountLittle(t *testing.T) {
	p := pacing.NewPauses()
	require.InDelta(t, 0.06, lateShare(p, "long", 60), 1e-9)
	require.InDelta(t, 0.16, lateShare(p, "long", 160), 1e-9)
	p.Record("s", "long", time.Second, 100, start)
	require.Less(t, lateShare(p, "long", 100), 0.2)
	p.Record("s", "long", time.Second, 0, start)
	require.Zero(t, lateShare(p, "long", 0))
	for range 500 {
		p.Record("s", "other", 300*time.Millisecond, 100, start)
	}
	require.Greater(t, lateShare(p, "new", 100), 0.9)
	other := p.Predict("other service", "long", 200*time.Millisecond)
	require.InDelta(t, 0.1, other.LateShare(100), 1e-9)
	var zero pacing.Prediction
	require.Zero(t, zero.LateShare(100))
	for range 500 {
		p.Record("s", "new", 20*time.Millisecond, 100, start)
	}
	require.Less(t, lateShare(p, "new", 100), 0.1)
}

// Old streams must be forgotten, as the load changes within a day.
func TestOldStreamsAreForgotten(t *testing.T) {
	p := pacing.NewPauses()
	for range 1000 {
		p.Record("s", "long", 300*time.Millisecond, 100, start)
	}
	for range 2000 {
		p.Record("s", "long", 20*time.Millisecond, 100, start)
	}
	require.Less(t, lateShare(p, "long", 100), 0.05)
	p.Prune(start.Add(time.Minute))
	require.Greater(t, lateShare(p, "long", 1500), 0.9)
	p.Prune(start.Add(2 * time.Hour))
	require.Equal(t, lateShare(pacing.NewPauses(), "long", 60), lateShare(p, "long", 60))
	require.InDelta(t, 0.06, lateShare(p, "long", 60), 1e-9)
}

// The choice among 32 runners asks for a share of each.
func BenchmarkLateShare(b *testing.B) {
	p := pacing.NewPauses()
	for i := range 500 {
		p.Record("s", "long", time.Duration(i)*time.Millisecond, 100, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		prediction := p.Predict("s", "long", 200*time.Millisecond)
		for i := range 32 {
			prediction.LateShare(60 + i)
		}
	}
}
