package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/routing"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

// Endpoint is an endpoint with its latest report and its load.
type Endpoint struct {
	VM   vmlist.VM
	Load *routing.Load

	leaving              atomic.Bool
	polled               atomic.Bool
	replacedIncarnations sync.Map
	mu                   sync.Mutex
	lastReport           atomic.Pointer[TimedReport]
}

// TimedReport is a report with the time of its request.
type TimedReport struct {
	Report endpoint.Report
	// RequestedAt is when the request for the report was sent.
	RequestedAt time.Time
}

// NewEndpoint returns an endpoint without a report.
func NewEndpoint(vm vmlist.VM) *Endpoint {
	return &Endpoint{
		VM:   vm,
		Load: routing.NewLoad(),
	}
}

// Leaving reports whether the endpoint must not get new calls.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// LastReport returns the last report, if any.
func (e *Endpoint) LastReport() (TimedReport, bool) {
	r := e.lastReport.Load()
	if r == nil {
		return TimedReport{}, false
	}
	return *r, true
}

// ReplacedIncarnation reports whether an incarnation of the endpoint was seen and has since been replaced by another.
func (e *Endpoint) ReplacedIncarnation(incarnation string) bool {
	_, ok := e.replacedIncarnations.Load(incarnation)
	return ok
}

// acceptReport stores a report unless it is older than the last one, since polls may overlap. It also returns the report
// stored before.
func (e *Endpoint) acceptReport(r TimedReport) (previous *TimedReport, accepted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous = e.lastReport.Load()
	if e.ReplacedIncarnation(r.Report.Incarnation) {
		return previous, false
	}
	if previous != nil && previous.Report.Incarnation != r.Report.Incarnation {
		e.replacedIncarnations.Store(previous.Report.Incarnation, true)
	} else if previous != nil && previous.Report.Sequence > r.Report.Sequence {
		return previous, false
	}
	e.lastReport.Store(&r)
	return previous, true
}

// Predict implements routing.Candidate.
func (e *Endpoint) Predict(prefill int, now time.Time) (time.Duration, bool) {
	if e.Leaving() || !e.Load.Allowed(now) {
		return 0, false
	}
	return e.Load.Predict(prefill, now), true
}
