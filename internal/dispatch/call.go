package dispatch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/patience"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	// deadlineGrace is how long after the deadline to wait for the runner's own response to it.
	deadlineGrace = 60 * time.Millisecond
	// adapterWaitDivisor limits how long a request waits for an adapter that is being loaded: the limit is the route's
	// objective divided by it.
	adapterWaitDivisor = 2
	// adapterPollInterval is the time between two checks for the adapter.
	adapterPollInterval = 4 * time.Millisecond
	// missingModelDelay is how long it takes, beyond the load itself, until a model that no runner has is loaded.
	missingModelDelay = 500 * time.Millisecond
	// connectionPercent is the percentage of a runner's connections that all VMs together may use.
	connectionPercent = 90
	// minConnections is the number of connections to a runner that any VM may open.
	minConnections = 4
)

// call is the state of one request while it is served.
type call struct {
	d        *Dispatcher
	request  *Request
	caller   Caller
	route    *catalog.Route
	service  catalog.Service
	version  uint64
	deadline time.Time
	// accountsConfigured is set if the configuration has accounts; account is nil if the request has none.
	accountsConfigured bool
	account            *catalog.Account
	// rank is the request's priority, as by catalog.Catalog.Rank.
	rank int
	// quotaTaken is set once cost was taken from the account's quota.
	quotaTaken bool
	cost       float64

	// tried lists the runners chosen so far; attempts counts the attempts that reached a runner or may still do.
	tried    []string
	attempts int
	// current is the attempt whose response is passed on. standby is a second one, begun because the runner of the first is
	// silent; it takes over once it has something to pass on.
	current *attempt
	standby *attempt
	// mayHaveRun is set once an attempt was written and the runner did not state that it did not execute it.
	mayHaveRun bool
	// responseStarted is set once a part of a response was sent to the caller, whose head is then settled.
	responseStarted bool
	// sound is set once an answer to the request showed that its prompt does not crash runners.
	sound bool
	// delivered is the number of bytes of the body that were sent to the caller.
	delivered int
	// lastEventID is the ID of the last event that the caller has.
	lastEventID string
	// unnumbered is set if the last event with data that the caller has got in this response has no ID, after which no runner can go on.
	unnumbered bool
	// endUnconfirmed is set if the stream may be complete: its last part ended after an event, but its runner may be gone.
	endUnconfirmed bool
	// release is that of the runners that can go on with the stream, nil if any can. releaseSought is set once it was looked up.
	release *string
	// onlyRelease is the single one that the service had when the caller took up a stream, which may have another one by now.
	onlyRelease   *string
	releaseSought bool
	// proxiesDeclined counts the VMs that could not take the request; proxy is the one whose response is passed on, if any.
	proxiesDeclined int
	proxy           string
	// status and contentType are those that the caller received; a resumed stream keeps those of its first response.
	status      int
	contentType string
	outcome     Outcome
	reason      string
	runner      string
	pick        choice
	firstByteAt time.Time
	// lastWriteAt is when events were last passed on to the caller; longestGap is the longest time between two such
	// writes.
	lastWriteAt time.Time
	longestGap  time.Duration
	shed        shed
}

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the response was passed on to its end.
	Answered Outcome = "Answered"
	// Refused means that this VM refused the request with a 4xx status or 503.
	Refused Outcome = "Refused"
	// Failed means that the runner responded with an error, or that this VM did so with a status other than those of Refused.
	Failed Outcome = "Failed"
	// Aborted means that this VM closed the connection after the response had started, because it could not be completed.
	Aborted Outcome = "Aborted"
	// Left means that the caller disconnected.
	Left Outcome = "Left"
)

// ErrStopping is the cause with which the context of a request is canceled when this VM must stop.
var ErrStopping = &CanceledError{Cause: "this VM stops"}

// errDeadline and errSilent are the causes with which an attempt is canceled.
var (
	errDeadline = &CanceledError{Cause: "the request's time is over"}
	errSilent   = &CanceledError{Cause: "the runner was silent and another one took over"}
)

// CanceledError reports why this VM canceled an attempt.
type CanceledError struct {
	Cause string
}

// Error implements error.
func (e *CanceledError) Error() string { return e.Cause }

// requirements describes the runner that the next attempt needs.
func (c *call) requirements() requirements {
	needs := requirements{
		service: c.service.Name,
		release: cmp.Or(c.release, c.onlyRelease),
		tried:   c.tried,
		pauses:  c.pauseRequirement(),
		vms:     c.d.VMs(),
		urgent:  c.rank <= c.service.FirstPriority || c.underWay(),
	}
	if c.service.Engine != nil {
		needs.model, needs.adapter = c.request.Model, c.request.Adapter
		needs.limit = c.service.MinObjective
	}
	return needs
}

// pickRunner chooses the runner for the next attempt. It returns neither a runner nor a refusal if the context ended while the
// request was delayed.
func (c *call) pickRunner(ctx context.Context) (choice, *refusal.Refusal) {
	if refused := c.quarantineRefusal(); refused != nil {
		return choice{}, refused
	}
	if c.cutOff() {
		return c.pickBeyondReach()
	}
	refused := c.findRelease(ctx)
	if ctx.Err() != nil {
		return choice{}, nil
	}
	if refused != nil {
		return choice{}, refused
	}
	needs := c.requirements()
	pick := c.d.Tracker.choose(c.d.Roster(), needs, c.d.Clock.Now())
	if pick.runner == nil && pick.withModel == 0 && needs.model != "" && c.release == nil {
		c.d.Demand.RecordMissing(needs.service, needs.model, needs.adapter)
		if needs.adapter != "" {
			pick = c.awaitAdapter(ctx, needs)
		}
	}
	c.pick = pick
	if pick.runner == nil {
		// All runners may have refused connections before this VM could know that it reaches none.
		if c.d.Reach.Await(ctx) && c.cutOff() {
			return c.pickBeyondReach()
		}
		return pick, c.noRunnerRefusal(needs)
	}
	if c.shedsByCost() {
		return c.shedByCost(ctx, needs)
	}
	if c.mayRefuse() && (!patience.WorthSending(pick.score, c.route.Objective) || rand.Float64() >= pick.admit) {
		return pick, refusal.New(http.StatusServiceUnavailable, refusal.TooLate, "the runners are too busy to answer in time").
			WithRetryAfter(c.retryAfter(max(pick.score-c.route.Objective, c.loadTime(needs.model))))
	}
	return pick, nil
}

// mayRefuse reports whether the request may still be refused because of its expected wait: it needs a model, has not been sent yet and
// takes up no stream. Runners begin the service's most urgent requests before others that wait, so those are always sent.
func (c *call) mayRefuse() bool {
	return c.service.Engine != nil && c.request.Model != "" && !c.underWay() && c.rank > c.service.FirstPriority
}

// underWay reports whether the request was sent to a runner, or goes on with a stream that was. Expected waits over all runners do not
// apply to such a stream, for which only those of its release count.
func (c *call) underWay() bool { return len(c.tried) > 0 || c.release != nil || c.mayHaveRun }

// loadTime returns how long it takes until one more runner has loaded a model.
func (c *call) loadTime(name string) time.Duration {
	model, _ := c.service.Engine.Model(name)
	return model.LoadTime
}

// retryAfter returns the Retry-After of a request that can probably be served in the given time.
func (c *call) retryAfter(servedIn time.Duration) time.Duration {
	return patience.RetryAfter(servedIn, c.deadline.Sub(c.d.Clock.Now()), rand.Float64())
}

// awaitAdapter waits for a short time for an adapter that is being loaded.
func (c *call) awaitAdapter(ctx context.Context, needs requirements) choice {
	deadline := c.request.Arrived.Add(c.route.Objective / adapterWaitDivisor)
	for {
		pick := c.d.Tracker.choose(c.d.Roster(), needs, c.d.Clock.Now())
		if pick.runner != nil || ctx.Err() != nil || !c.d.Clock.Now().Before(deadline) {
			return pick
		}
		pause.For(ctx, c.d.Clock, adapterPollInterval)
	}
}

func (c *call) noRunnerRefusal(needs requirements) *refusal.Refusal {
	if c.mayHaveRun {
		return refusal.New(http.StatusBadGateway, refusal.AnswerBroken, "no runner is left to try").WithRan(refusal.Unknown)
	}
	if c.release != nil && c.pick.staying == 0 {
		return refusal.New(http.StatusServiceUnavailable, refusal.ReleaseGone, "no runner of the release that began the stream has the model")
	}
	message := "no runner can take the request now"
	if c.pick.withoutRoom > 0 {
		c.d.Metrics.requestWithoutRoom(c.service.Name)
		message = "the runners are brittle and have no room for the request now"
	}
	refused := refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, message)
	if needs.model != "" && c.pick.withModel == 0 && needs.adapter == "" {
		return refused.WithRetryAfter(c.retryAfter(c.loadTime(needs.model) + missingModelDelay))
	}
	return refused.WithRetryAfter(c.retryAfter(c.pick.pause))
}

// takeRetry reports whether another attempt is allowed and, if so, takes it from the retry budget.
func (c *call) takeRetry() bool {
	if c.attempts >= c.route.MaxAttempts || (c.mayHaveRun && c.suspected()) || c.beyondRetry() {
		return false
	}
	return c.d.RetryBudget.TakeRetry(c.service.Name, c.d.Clock.Now())
}

// beyondRetry reports whether the caller has received a part of a response that only its runner can complete.
func (c *call) beyondRetry() bool {
	return c.responseStarted && (c.route.Kind != catalog.Streaming || c.unnumbered)
}

// hasAlternative reports whether the request could be sent to another runner now.
func (c *call) hasAlternative() bool {
	now := c.d.Clock.Now()
	if c.attempts >= c.route.MaxAttempts || c.barred() || !c.d.RetryBudget.RetryAllowed(c.service.Name, now) {
		return false
	}
	return c.choose().runner != nil
}

// newAttempt returns the parameters of the next attempt.
func (c *call) newAttempt(pick choice) Attempt {
	a := Attempt{
		Remaining:    c.deadline.Sub(c.d.Clock.Now()),
		ResumeAfter:  c.lastEventID,
		Priority:     min(max(c.rank, 0), catalog.LowestPriority),
		Account:      c.accountName(),
		PassIdentity: !c.accountsConfigured,
		Fresh:        !c.route.Idempotent() || c.attempts > 1,
	}
	if pick.proxied {
		a.Proxied = c.proxied()
		return a
	}
	if c.service.MaxConnections > 0 {
		a.MaxConnections = max(c.service.MaxConnections*connectionPercent/100/max(c.d.VMs(), 1), minConnections)
	}
	return a
}
