package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// deadlineSlack is how long after the deadline a runner's own answer to it is waited for.
	deadlineSlack = 60 * time.Millisecond
	// busyRetry is when to come back to runners that are full or away.
	busyRetry = 300 * time.Millisecond
	// holdShare is the part of the objective for which a request waits for an adapter on its way.
	holdShare = 2
	// holdPause is the pause between two looks for the adapter.
	holdPause = 4 * time.Millisecond
	// loadRetry is when to come back for a model that has to be loaded first.
	loadRetry = 1500 * time.Millisecond
	// lowestPriority is the last rank that runners know.
	lowestPriority = 9
	// connectionUse is the part, in percent, of a runner's connections that all VMs together use.
	connectionUse = 90
	// leastConnections is what a VM may open to a runner in any case.
	leastConnections = 4
)

// call is one request on its way.
type call struct {
	d        *Dispatcher
	request  *Request
	caller   Caller
	route    *catalog.Route
	service  catalog.Service
	version  uint64
	deadline time.Time

	// tried lists the runners that had the request, sends how many sends reached one.
	tried []string
	sends int
	// mayHaveRun tells that a send was written and not answered with a runner's word that it did not run.
	mayHaveRun bool
	begun      bool
	framer     framer
	// headers of the first answer stay; status is what the caller got.
	status  int
	outcome Outcome
	reason  string
	runner  string
	pick    choice
	first   time.Time
	// last is when the last piece was passed on, pause the longest time between two.
	last  time.Time
	pause time.Duration
}

// Outcome says how a request ended.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "Answered"
	Refused  Outcome = "Refused"
	Failed   Outcome = "Failed"
	Aborted  Outcome = "Aborted"
	Left     Outcome = "Left"
)

// errDeadline and errStalled are the causes for which a send is ended.
var (
	errDeadline = &EndedError{Cause: "the request's time is over"}
	errStalled  = &EndedError{Cause: "the runner is silent and another one can take over"}
)

// EndedError reports why a send was ended by this side.
type EndedError struct {
	Cause string
}

// Error implements error.
func (e *EndedError) Error() string { return e.Cause }

// run sends the request until it is answered; a refusal is returned when nothing was sent to the caller.
func (c *call) run(ctx context.Context) *refusal.Refusal {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	timer := c.d.Clock.AfterFunc(c.deadline.Sub(c.d.Clock.Now())+deadlineSlack, func() { end(errDeadline) })
	defer timer.Stop()
	for {
		pick, refused := c.pickRunner(ctx)
		if refused != nil {
			return c.giveUp(refused)
		}
		again, refused := c.attempt(ctx, pick)
		if ctx.Err() != nil {
			return c.ended(ctx)
		}
		if !again {
			return c.giveUp(refused)
		}
	}
}

// giveUp turns a refusal into a break of the connection when the answer has begun.
func (c *call) giveUp(refused *refusal.Refusal) *refusal.Refusal {
	if refused != nil && c.begun {
		c.abort(refused.Message)
		return nil
	}
	return refused
}

// ended accounts for a caller that left or a deadline that passed.
func (c *call) ended(ctx context.Context) *refusal.Refusal {
	if !errors.Is(context.Cause(ctx), errDeadline) {
		c.outcome = Left
		return nil
	}
	if c.outcome == Answered {
		return nil
	}
	if c.begun {
		c.abort(errDeadline.Cause)
		return nil
	}
	refused := refusal.New(http.StatusGatewayTimeout, refusal.TooLate, errDeadline.Cause)
	if c.mayHaveRun {
		refused = refused.WithRan(refusal.Unknown)
	}
	return refused
}

func (c *call) abort(reason string) {
	c.outcome = Aborted
	c.reason = reason
	c.caller.Abort()
}

// wanted describes the runner that the request needs now.
func (c *call) wanted() wanted {
	w := wanted{
		service: c.service.Name,
		tried:   c.tried,
	}
	if c.service.Engine != nil {
		w.model, w.adapter = c.request.Model, c.request.Adapter
	}
	return w
}

// pickRunner chooses where the request goes next.
func (c *call) pickRunner(ctx context.Context) (choice, *refusal.Refusal) {
	w := c.wanted()
	pick := c.d.Tracker.choose(c.d.Roster(), w, c.d.Clock.Now())
	if pick.runner == nil && pick.holders == 0 && w.model != "" {
		c.d.Wants.Missing(w.service, w.model, w.adapter)
		if w.adapter != "" {
			pick = c.awaitAdapter(ctx, w)
		}
	}
	if pick.runner != nil {
		return pick, nil
	}
	c.pick = pick
	return pick, c.noRunner(w)
}

// awaitAdapter waits a little for an adapter that is on its way to a runner.
func (c *call) awaitAdapter(ctx context.Context, w wanted) choice {
	until := c.request.Arrived.Add(c.route.Objective / holdShare)
	for {
		pick := c.d.Tracker.choose(c.d.Roster(), w, c.d.Clock.Now())
		if pick.runner != nil || ctx.Err() != nil || !c.d.Clock.Now().Before(until) {
			return pick
		}
		pause.For(ctx, c.d.Clock, holdPause)
	}
}

func (c *call) noRunner(w wanted) *refusal.Refusal {
	if c.mayHaveRun {
		return refusal.New(http.StatusBadGateway, refusal.AnswerBroken, "no runner is left to try").WithRan(refusal.Unknown)
	}
	refused := refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no runner can take the request now")
	if w.model != "" && c.pick.holders == 0 && w.adapter == "" {
		return refused.WithRetryAfter(loadRetry)
	}
	return refused.WithRetryAfter(busyRetry)
}

// mayTryAgain reports whether another send is allowed, and takes it out of the budget.
func (c *call) mayTryAgain() bool {
	return c.sends < c.route.MaxSends && c.d.Budget.Take(c.service.Name, c.d.Clock.Now())
}

// hasAlternative reports whether the request could go to another runner now.
func (c *call) hasAlternative() bool {
	now := c.d.Clock.Now()
	if c.sends >= c.route.MaxSends || !c.d.Budget.Room(c.service.Name, now) {
		return false
	}
	return c.d.Tracker.choose(c.d.Roster(), c.wanted(), now).runner != nil
}

// try describes the next send.
func (c *call) try(runner *roster.Runner) Try {
	t := Try{
		Left:        c.deadline.Sub(c.d.Clock.Now()),
		ResumeAfter: c.framer.last,
		Priority:    min(max(c.route.Priority, 0), lowestPriority),
	}
	if c.service.MaxConnections > 0 && runner != nil {
		t.MaxConnections = max(c.service.MaxConnections*connectionUse/100/max(c.d.VMs(), 1), leastConnections)
	}
	return t
}
