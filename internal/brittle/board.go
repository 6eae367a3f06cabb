package brittle

import "time"

const (
	// MaxTolerance bounds the tolerance that runners state.
	MaxTolerance = 1 << 16
	// ownStatementTTL is how long a runner's own statement takes precedence over those of other runners of its service.
	ownStatementTTL = time.Second
	// minPause and maxPause limit how long a VM takes no further room at a runner after a rejection.
	minPause = 300 * time.Millisecond
	maxPause = 5 * time.Second
	// pauseMargin is the mean of that time, as a multiple of the one after which all VMs together cause as many rejections as the
	// runner tolerates.
	pauseMargin = 2
	// pauseSpread is the width of the range of the pause, relative to its mean.
	pauseSpread = 0.5
)

// Board keeps what the runners state on rejections, and what this VM may send to those that state a limit.
type Board struct {
	services map[string]statement
	runners  map[string]*runner
}

// New returns a board that knows of no limits.
func New() *Board {
	return &Board{
		services: make(map[string]statement),
		runners:  make(map[string]*runner),
	}
}

// Answer is what the answer of a runner to this VM says.
type Answer struct {
	Service string
	Runner  string
	// Tolerance is how many requests the runner can reject within a second, or 0 if it states no limit.
	Tolerance int
	// Rejected is set if the runner had no room for the request.
	Rejected bool
	// Own is the number of this VM's other requests at the runner.
	Own int
	// VMs is the number of VMs that send requests to the runner.
	VMs int
}

// RecordAnswer records an answer; random returns a number in [0, 1).
func (b *Board) RecordAnswer(a Answer, random func() float64, now time.Time) {
	s := statement{
		tolerance: min(max(a.Tolerance, 0), MaxTolerance),
		at:        now,
		received:  true,
	}
	b.record(a.Service, s)
	if _, limited := b.services[a.Service]; !limited {
		return
	}
	r := b.runner(a.Service, a.Runner)
	if s.tolerance == 0 {
		*r = runner{
			service: a.Service,
			stated:  s,
		}
		return
	}
	r.stated = s
	if a.Rejected {
		r.reject(a.Own, now.Add(pause(s.tolerance, a.VMs, random())), now)
	}
}

// pause returns how long a VM takes no further room at a runner after a rejection. If each VM causes one rejection in that time, the
// runner bears all of them.
func pause(tolerance, vms int, random float64) time.Duration {
	mean := time.Duration(pauseMargin * float64(max(vms, 1)) / float64(tolerance) * float64(time.Second))
	mean = min(max(mean, minPause), maxPause)
	return time.Duration(float64(mean) * (1 - pauseSpread/2 + pauseSpread*random))
}

// RecordReport records a runner's report of how many requests it works on and how many wait. That of a rejection follows RecordAnswer.
func (b *Board) RecordReport(id string, running, waiting, slots int, now time.Time) {
	if r, known := b.runners[id]; known {
		r.report(running, waiting, slots, now)
	}
}

// runner returns what is known of a runner.
func (b *Board) runner(service, id string) *runner {
	r, ok := b.runners[id]
	if !ok {
		r = &runner{service: service}
		b.runners[id] = r
	}
	return r
}

// Prune drops what is outdated.
func (b *Board) Prune(registered func(runner string) bool, now time.Time) {
	for service, s := range b.services {
		if !s.valid(now) {
			delete(b.services, service)
		}
	}
	for id := range b.runners {
		if len(b.services) == 0 || !registered(id) {
			delete(b.runners, id)
		}
	}
}

// tolerance returns how many requests a runner can reject within a second, or 0 if it states no limit.
func (b *Board) tolerance(service, id string, now time.Time) int {
	if r, known := b.runners[id]; known && !r.stated.at.IsZero() && now.Sub(r.stated.at) < ownStatementTTL {
		return r.stated.tolerance
	}
	if s := b.services[service]; s.valid(now) {
		return s.tolerance
	}
	return 0
}

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
	// Urgent requests may take slots that are kept free for them.
	Urgent bool
}

// HasRoom reports whether this VM may send one more request to a runner; random returns a number in [0, 1). If not, retryIn is when it may
// probably do so, or 0 if that isn't known.
func (b *Board) HasRoom(q Query, random func() float64, now time.Time) (ok bool, retryIn time.Duration) {
	if b.tolerance(q.Service, q.Runner, now) == 0 {
		return true, 0
	}
	r := b.runner(q.Service, q.Runner)
	r.own.record(q.Own, now)
	r.redraw(random, now)
	if now.Before(r.pausedUntil) && q.Own >= r.taken {
		return false, r.pausedUntil.Sub(now)
	}
	return q.Own < r.limit(q, now), 0
}
