package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/routing"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

// Endpoint is one endpoint and what is known of it.
type Endpoint struct {
	VM   vmlist.VM
	Load *routing.Load

	leaving  atomic.Bool
	polled   atomic.Bool
	past     sync.Map
	mu       sync.Mutex
	reported atomic.Pointer[Reported]
}

// Reported is a report and when it was asked for.
type Reported struct {
	Report endpoint.Report
	// Asked is when the request for the report was sent.
	Asked time.Time
}

// NewEndpoint returns an endpoint of which nothing is known yet.
func NewEndpoint(vm vmlist.VM) *Endpoint {
	return &Endpoint{
		VM:   vm,
		Load: routing.NewLoad(),
	}
}

// Leaving reports whether the endpoint must get no new work.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Reported returns the last report, if any.
func (e *Endpoint) Reported() (Reported, bool) {
	r := e.reported.Load()
	if r == nil {
		return Reported{}, false
	}
	return *r, true
}

// Past reports whether an incarnation of the endpoint was seen here and has been followed by another.
func (e *Endpoint) Past(incarnation string) bool {
	_, ok := e.past.Load(incarnation)
	return ok
}

// accept puts a report in place of the one before, unless it is older: two polls may cross.
func (e *Endpoint) accept(r Reported) (before *Reported, newer bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before = e.reported.Load()
	if e.Past(r.Report.Incarnation) {
		return before, false
	}
	if before != nil && before.Report.Incarnation != r.Report.Incarnation {
		e.past.Store(before.Report.Incarnation, true)
	} else if before != nil && before.Report.Sequence > r.Report.Sequence {
		return before, false
	}
	e.reported.Store(&r)
	return before, true
}

// Predict implements routing.Candidate.
func (e *Endpoint) Predict(prefill int, now time.Time) (time.Duration, bool) {
	if e.Leaving() || !e.Load.Allowed(now) {
		return 0, false
	}
	return e.Load.Predict(prefill, now), true
}
