package shedding

import (
	"math"
	"time"
)

const (
	// orderTimeConstant is the time constant of the counts of admitted requests.
	orderTimeConstant = 10 * time.Second
	// orderTolerance is how much more often a rank may be admitted than a more urgent one. The rule is five percentage points.
	orderTolerance = 0.03
	// orderPrior is the number of admitted requests that each count begins with, so that one refusal among few has little effect.
	orderPrior = 20
)

// order counts the admitted requests of a service by rank, so that a less urgent rank, whose requests can wait for the end of a
// shortage, isn't served more often than a more urgent one. Its counts decay exponentially.
type order struct {
	asked     [ranks]float64
	admitted  [ranks]float64
	decayedAt time.Time
}

func (o *order) decay(now time.Time) {
	elapsed := now.Sub(o.decayedAt)
	if elapsed <= 0 {
		return
	}
	o.decayedAt = now
	factor := math.Exp(-elapsed.Seconds() / orderTimeConstant.Seconds())
	for i := range ranks {
		o.asked[i] *= factor
		o.admitted[i] *= factor
	}
}

// record counts a new request that was sent or delayed, or refused.
func (o *order) record(rank int, admitted bool) {
	o.asked[rank]++
	if admitted {
		o.admitted[rank]++
	}
}

func (o *order) share(rank int) float64 {
	return (o.admitted[rank] + orderPrior) / (o.asked[rank] + orderPrior)
}

// limit returns the share of new requests of a rank that may be admitted now.
func (o *order) limit(rank int) float64 {
	least := 1.0
	for i := range rank {
		least = min(least, o.share(i))
	}
	if o.share(rank) > least+orderTolerance {
		return least
	}
	return 1
}
