package loadbalance

import (
	"math"
	"time"
)

// Supply is what the runners last picked from can serve.
type Supply struct {
	// Throughput is how many requests per second they end with all slots in use, infinite if that isn't known.
	Throughput float64
	// Occupied is the number of requests that they have by the figures, Capacity the number at which the next one is still served
	// within the limit.
	Occupied float64
	Capacity float64
	// Slots is how many requests they process at once.
	Slots float64
}

// Supply returns what the runners last picked from can serve within a limit.
func (p *Picker) Supply(limit time.Duration) Supply {
	var s Supply
	for i := range p.loads {
		l := &p.loads[i]
		s.Occupied += l.figure
		if math.IsInf(l.slots, 1) {
			s.Throughput = math.Inf(1)
			continue
		}
		s.Slots += l.slots + 1
		s.Throughput += l.throughput
		s.Capacity += l.capacity(limit.Seconds())
	}
	return s
}

// Scale returns the supply of a multiple of the runners.
func (s Supply) Scale(factor float64) Supply {
	return Supply{
		Throughput: s.Throughput * factor,
		Occupied:   s.Occupied * factor,
		Capacity:   s.Capacity * factor,
		Slots:      s.Slots * factor,
	}
}
