package loadbalance

import (
	"math"
	"time"
)

// admissionInterval is the time in which an excess over the limit is to be worked off; it covers the interval between figures.
const admissionInterval = 1500 * time.Millisecond

// Admit returns the share of requests to admit so that the runners last picked from serve a request within a limit, given how many
// requests per second all VMs get for them. It is 1 if the runners can serve all.
func (p *Picker) Admit(limit time.Duration, requestsPerSecond float64) float64 {
	if requestsPerSecond <= 0 || len(p.loads) == 0 {
		return 1
	}
	served, room := 0.0, 0.0
	for i := range p.loads {
		l := &p.loads[i]
		if math.IsInf(l.slots, 1) {
			return 1
		}
		served += l.throughput
		room += l.capacity(limit.Seconds()+l.penalty) - l.figure
	}
	admissible := served + room/admissionInterval.Seconds()
	return min(max(admissible/requestsPerSecond, 0), 1)
}
