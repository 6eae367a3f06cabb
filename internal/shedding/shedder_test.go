package shedding_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/shedding"
)

// stream asks a shedder about a stream of new requests, 20 a second, while the runners' queues are as long as they may be. Delayed
// requests are abandoned at once.
type stream struct {
	shedder *shedding.Shedder
	random  *rand.Rand
	now     time.Time
	supply  shedding.Supply
}

// newStream returns a stream to runners that can serve a number of requests of 1000 tokens per second, out of 20.
func newStream(perSecond float64) *stream {
	s := &stream{
		shedder: shedding.New(),
		random:  rand.New(rand.NewPCG(1, 1)),
		supply:  shedding.Supply{Throughput: perSecond, Slots: 100, Occupied: 60, Capacity: 60, Demand: 20},
	}
	s.shedder.RecordServed("s", 1000, time.Second, s.now)
	return s
}

// request returns a request that can't wait.
func request(rank int, work float64) shedding.Request {
	return shedding.Request{
		Service: "s", Model: "m", Rank: rank, First: rank == 0, Objective: 200 * time.Millisecond, Left: 10 * time.Second, Work: work,
	}
}

func (s *stream) ask(r shedding.Request) shedding.Decision {
	s.now = s.now.Add(50 * time.Millisecond)
	d := s.shedder.Decide(r, s.supply, s.random.Float64, s.now)
	if d.Action == shedding.Delay {
		s.shedder.Abandon(r)
	}
	return d
}

// admitted returns the share of each of some requests, asked in turn, that is sent or delayed.
func (s *stream) admitted(requests ...shedding.Request) []float64 {
	const warmup, rounds = 400, 5000
	shares := make([]float64, len(requests))
	for round := range warmup + rounds {
		for i, r := range requests {
			if s.ask(r).Action != shedding.Refuse && round >= warmup {
				shares[i] += 1.0 / rounds
			}
		}
	}
	return shares
}

// Capacity must go to the ranks in their order: only the rank for which it runs out is admitted in part.
func TestCapacityIsFilledInOrderOfRank(t *testing.T) {
	shares := newStream(12).admitted(request(0, 1000), request(0, 1000), request(1, 1000), request(2, 1000))
	require.InDelta(t, 1, shares[0], 0.01)
	require.InDelta(t, 0.4, shares[2], 0.1, "12 a second are served: 10 of the first rank, 2 of the second")
	require.Less(t, shares[3], 0.05)
}

// When the most urgent rank alone exceeds the capacity, it must be admitted in part, or all of it would be late.
func TestMostUrgentRankIsAdmittedInPartBeyondCapacity(t *testing.T) {
	shares := newStream(9).admitted(request(0, 1000), request(0, 1000))
	require.InDelta(t, 9*1.1/20, shares[0], 0.07)
}

// Within a rank, small requests must go first, and large ones must still be admitted at least half as often as the mean.
func TestSmallRequestsGoFirstAndLargeOnesDoNotStarve(t *testing.T) {
	for _, capacity := range []float64{2, 4, 8, 12} {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) {
			shares := newStream(capacity).admitted(request(1, 200), request(1, 400), request(1, 800), request(1, 8000))
			mean := (shares[0] + shares[1] + shares[2] + shares[3]) / 4
			require.GreaterOrEqual(t, shares[0], shares[3])
			for _, share := range shares {
				require.GreaterOrEqual(t, share, mean/2)
			}
		})
	}
}

// A less urgent rank that can wait for the end of a shortage must not be admitted more often than a more urgent one that can't, by
// more than five percentage points.
func TestWaitingRankIsNotAdmittedMoreOften(t *testing.T) {
	patient := request(2, 1000)
	patient.Objective = 6 * time.Second
	shares := newStream(14).admitted(request(0, 1000), request(1, 1000), request(1, 1000), patient)
	require.Less(t, shares[1], 0.95)
	require.LessOrEqual(t, shares[3], shares[1]+0.05)
}

// A request that can't be answered before its deadline must be refused at once even while there is capacity, also the most urgent.
func TestRequestBeyondItsDeadlineIsRefusedAtOnce(t *testing.T) {
	s := newStream(100)
	for rank := range 2 {
		hopeless := request(rank, 30000)
		d := s.ask(hopeless)
		require.Equal(t, shedding.Refuse, d.Action)
		require.Equal(t, shedding.Deadline, d.Reason, "30 s of work in 10 s")
		require.Equal(t, shedding.Send, s.ask(request(rank, 1000)).Action)
	}
}

// A request is refused at once or not at all, so that none is held and then refused, and it is sent while its objective can be met.
func TestDelayedRequestIsSentWithinItsObjective(t *testing.T) {
	s := newStream(100)
	s.ask(request(0, 1000))
	s.supply.Throughput = 1
	delayed := 0
	for range 200 {
		r := request(1, 1000)
		r.Objective = 6 * time.Second
		d := s.shedder.Decide(r, s.supply, s.random.Float64, s.now)
		if d.Action == shedding.Delay {
			delayed++
		}
		for d.Action == shedding.Delay {
			require.Positive(t, d.For)
			require.LessOrEqual(t, d.For, 375*time.Millisecond)
			r.Waited += d.For
			r.Left -= d.For
			s.now = s.now.Add(d.For)
			d = s.shedder.Decide(r, s.supply, s.random.Float64, s.now)
			require.NotEqual(t, shedding.Refuse, d.Action)
		}
		require.Less(t, r.Waited, 4*time.Second)
	}
	require.Positive(t, delayed)
}

// The requests delayed at a time must be limited, because each of them is sent in the end and occupies memory.
func TestDelayedRequestsAreLimited(t *testing.T) {
	for name, demand := range map[string]float64{"demand known": 20, "demand unknown": 0} {
		t.Run(name, func(t *testing.T) {
			s := newStream(100)
			s.ask(request(0, 1000))
			s.supply.Throughput, s.supply.Demand, s.supply.Wait = 1, demand, time.Hour
			s.supply.Occupied = 0
			r := request(1, 1000)
			r.Objective, r.Left = 6*time.Second, 0
			delayed := 0
			for range 1000 {
				if s.shedder.Decide(r, s.supply, s.random.Float64, s.now).Action == shedding.Delay {
					delayed++
				}
			}
			require.Positive(t, delayed)
			require.LessOrEqual(t, delayed, 256)
			for range delayed {
				s.shedder.Abandon(r)
			}
			require.Equal(t, shedding.Delay, s.shedder.Decide(r, s.supply, s.random.Float64, s.now).Action)
		})
	}
}

// Retry-After must be at most a third of the time left, also of a short one, and differ between callers refused together.
func TestRetryAfterLeavesTimeAndIsSpread(t *testing.T) {
	s := newStream(100)
	s.ask(request(0, 1000))
	s.supply.Throughput = 1
	s.supply.Relief = time.Minute
	for _, left := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		seen := make(map[time.Duration]bool)
		for range 20 {
			r := request(2, 1000)
			r.Left = left
			if d := s.ask(r); d.Action == shedding.Refuse {
				require.Positive(t, d.For)
				require.LessOrEqual(t, d.For, left/3)
				seen[d.For] = true
			}
		}
		if left > time.Second {
			require.Greater(t, len(seen), 10)
		}
	}
}

// A VM that has just started, or that doesn't know the demand, must serve as before as long as the expected wait is short.
func TestRequestsAreSentWhileNothingIsKnown(t *testing.T) {
	s := newStream(1)
	s.shedder, s.supply.Demand = shedding.New(), 0
	require.Equal(t, shedding.Send, s.ask(request(2, 1000)).Action)
	s.supply.Wait, s.supply.Occupied = time.Second, 0
	require.Equal(t, shedding.Wait, s.ask(request(2, 1000)).Reason)
	require.Equal(t, shedding.Send, s.ask(request(0, 1000)).Action)
	// The demand for models that are requested rarely isn't known either; nothing may be refused there to keep slots free.
	s.supply.Wait, s.supply.Occupied = 0, 99
	for range 100 {
		patient := request(2, 1000)
		patient.Objective = 6 * time.Second
		require.NotEqual(t, shedding.Refuse, s.ask(patient).Action)
	}
}

// Requests to very many models must not make the state grow without bound, nor a dropped model's delayed request do harm.
func TestModelsAreLimited(t *testing.T) {
	s := newStream(100)
	for i := range 2000 {
		r := request(1, 1000)
		r.Model = fmt.Sprint(i)
		require.Equal(t, shedding.Send, s.ask(r).Action)
	}
	r := request(1, 1000)
	r.Model = "0"
	s.shedder.Abandon(r)
	require.Equal(t, shedding.Send, s.ask(r).Action)
}
