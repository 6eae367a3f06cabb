package brittle

import (
	"math"
	"time"
)

const (
	// reportLag is how long ago a VM sent the newest requests that a runner's own report includes, totalLag the same of totals.
	reportLag = 100 * time.Millisecond
	totalLag  = 450 * time.Millisecond
	// reportTTL is how long a runner's own report takes precedence over totals.
	reportTTL = 300 * time.Millisecond
	// figureTTL is how long figures of a runner's requests are relied on.
	figureTTL = 2 * time.Second
	// spareShare is the share of a runner's slots that is kept free for requests that weren't foreseen, urgentShare the share that only
	// urgent requests take besides.
	spareShare  = 1.0 / 8
	urgentShare = 1.0 / 16
	// minQueue and queueDivisor give how many requests wait at a runner that can't begin them; fewer may just await its next step.
	minQueue     = 2
	queueDivisor = 8
	// recoverySeconds is the time after which a runner that could use few of its slots is expected to use all.
	recoverySeconds = 30
	// reserveShare is the share of the slots that is kept free after a rejection, reserveTime the time after which it no longer is, and
	// maxRejections how many count at most.
	reserveShare  = 1.0 / 12
	reserveTime   = 6 * time.Second
	maxRejections = 5
	// sameRejection is the time within which rejections count as one.
	sameRejection = 100 * time.Millisecond
)

// runner is what is known of a runner of a service whose runners state a limit.
type runner struct {
	service string
	stated  statement
	// reported is the number of requests of all VMs by the runner's newest report.
	reported   int
	reportedAt time.Time
	// processed is how many requests the runner worked on when others last waited or were rejected, at fullAt.
	processed int
	fullAt    time.Time
	own       history
	// draw is a random number in [0, 1) that rounds this VM's share of the room, drawnAt when it was drawn.
	draw    float64
	drawnAt time.Time
	// pausedUntil is the end of the time after a rejection in which this VM has no more than taken requests at the runner.
	pausedUntil time.Time
	taken       int
	// rejectedAt is when the runner last rejected a request of any VM, rejectedHere is set if it was one of this VM, and processedThen is
	// how many requests the runner worked on, or 0. rejections weighs the recent ones, the last of which was counted at countedAt.
	rejectedAt    time.Time
	rejectedHere  bool
	processedThen int
	rejections    float64
	countedAt     time.Time
}

// report records how many requests the runner works on and how many wait.
func (r *runner) report(running, waiting, slots int, now time.Time) {
	r.reported, r.reportedAt = running+waiting, now
	if r.rejectedHere && r.rejectedAt.Equal(now) {
		r.recordProcessed(running, now)
		return
	}
	if waiting >= max(minQueue, slots/queueDivisor) || float64(running) > r.processable(slots, now) {
		r.processed, r.fullAt = running, now
	}
}

// recordProcessed records how many requests the runner worked on when it rejected one.
func (r *runner) recordProcessed(running int, at time.Time) {
	if r.processedThen = max(running, 0); running > 0 {
		r.processed, r.fullAt = running, at
	}
}

// processable returns how many requests the runner can work on at once. It may be fewer than it has slots, for want of memory.
func (r *runner) processable(slots int, now time.Time) float64 {
	if r.fullAt.IsZero() {
		return float64(slots)
	}
	return min(float64(r.processed)+float64(slots)*now.Sub(r.fullAt).Seconds()/recoverySeconds, float64(slots))
}

// recentRejections returns the weight of recent rejections; each counts less with time.
func (r *runner) recentRejections(now time.Time) float64 {
	return max(r.rejections-float64(now.Sub(r.countedAt))/float64(reserveTime), 0)
}

// reserveMore records a rejection. Those that follow one within sameRejection are of requests that had been sent before it was known.
func (r *runner) reserveMore(at time.Time) {
	if at.Sub(r.countedAt) > sameRejection {
		r.rejections, r.countedAt = min(r.recentRejections(at)+1, maxRejections), at
	}
	r.rejectedAt, r.processedThen = at, 0
}

// reject records a rejection of a request of this VM, after which it takes no further room until a time. The runner has taken the given
// number of this VM's requests.
func (r *runner) reject(taken int, until, now time.Time) {
	r.reserveMore(now)
	r.rejectedHere = true
	r.pausedUntil, r.taken = until, max(taken, 0)
}

// limit returns how many requests this VM may have at the runner. All VMs together have no more than the runner takes if each adds its
// share of the room to what it had when the figures were made, or gives up its share of the excess.
func (r *runner) limit(q Query, now time.Time) int {
	if q.Slots <= 0 {
		return math.MaxInt
	}
	places, vms := r.places(q, now), float64(max(q.VMs, 1))
	total, own := 0, 0
	switch {
	case now.Sub(r.reportedAt) < reportTTL || (now.Sub(r.reportedAt) < figureTTL && !q.UpdatedAt.After(r.reportedAt)):
		own = r.own.at(r.reportedAt.Add(-reportLag))
		total = max(r.reported, own)
	case now.Sub(q.UpdatedAt) < figureTTL:
		own = r.own.at(q.UpdatedAt.Add(-totalLag))
		total = own + q.Others
	default:
		return r.round(places / vms)
	}
	if float64(total) > places {
		return r.round(float64(own) * max(places, 0) / float64(total))
	}
	limit := own + r.round((places-float64(total))/vms)
	if 2*total < q.Slots {
		// A runner that is mostly free has room for those that have nothing there.
		limit = max(limit, 1)
	}
	return limit
}

// redraw draws the number that rounds shares anew after a time.
func (r *runner) redraw(random func() float64, now time.Time) {
	if now.Sub(r.drawnAt) >= totalLag {
		r.draw, r.drawnAt = random(), now
	}
}

// round rounds a share up or down, in proportion to its fraction, so that the shares of all VMs add up to the whole.
func (r *runner) round(share float64) int { return int(share + r.draw) }

// places returns how many requests the runner takes.
func (r *runner) places(q Query, now time.Time) float64 {
	kept := spareShare
	if !q.Urgent {
		kept += urgentShare
	}
	kept += reserveShare * r.recentRejections(now)
	return r.processable(q.Slots, now) * (1 - kept)
}
