package brittle

import (
	"math"
	"time"
)

// Query asks for room at a runner.
type Query struct {
	Service string
	Runner  string
	Slots   int
	// VMs is the number of VMs that send requests to the runner.
	VMs int
	// Own is the number of this VM's requests at the runner, Others that of the other VMs as of UpdatedAt.
	Own       int
	Others    int
	UpdatedAt time.Time
	// Urgent requests may also take the places in which requests wait at the runner.
	Urgent bool
}

// HasRoom reports whether this VM may send one more request to a runner; random returns a number in [0, 1). If not, retryIn is when it may probably do
// so, or 0 if that isn't known.
func (b *Board) HasRoom(q Query, random func() float64, now time.Time) (ok bool, retryIn time.Duration) {
	if b.tolerance(q.Service, q.Runner, now) == 0 {
		return true, 0
	}
	r := b.runner(q.Runner)
	r.refresh(q, random, now)
	if now.Before(r.pausedUntil) && q.Own >= r.taken {
		return false, r.pausedUntil.Sub(now)
	}
	return q.Own < r.limit(q, now), 0
}

// refresh takes over newer figures. They show what this VM sent only after a round trip, so they are not taken over more often.
func (r *runner) refresh(q Query, random func() float64, now time.Time) {
	interval := refreshInterval
	if r.figureAt.Equal(q.UpdatedAt) {
		interval = figureTTL
	}
	if now.Sub(r.refreshedAt) < interval {
		return
	}
	r.refreshedAt, r.draw = now, random()
	r.figureAt, r.own, r.total = q.UpdatedAt, q.Own, q.Own+q.Others
}

// limit returns how many requests this VM may have at the runner. All VMs together have no more than the runner takes if each adds its
// share of the room to what it had when the figures arrived.
func (r *runner) limit(q Query, now time.Time) int {
	if q.Slots <= 0 {
		return math.MaxInt
	}
	places := r.places(q)
	vms := float64(max(q.VMs, 1))
	if now.Sub(r.figureAt) >= figureTTL {
		return r.round(float64(places) / vms)
	}
	limit := r.own + r.round(float64(max(places-r.total, 0))/vms)
	if 2*r.total < q.Slots {
		// A runner that is mostly free has room for those that have nothing there.
		limit = max(limit, 1)
	}
	return limit
}

// round rounds a share up or down, in proportion to its fraction, so that the shares of all VMs add up to the whole.
func (r *runner) round(share float64) int { return int(share + r.draw) }

// places returns how many requests the runner takes. Requests that wait although slots are free wait for something else that the runner
// lacks.
func (r *runner) places(q Query) int {
	places := q.Slots
	if r.queues && r.processes > 0 {
		places = min(places, r.processes)
	}
	if q.Urgent {
		places += (q.Slots + queueDivisor - 1) / queueDivisor
	}
	return places
}
