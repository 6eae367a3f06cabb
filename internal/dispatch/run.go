package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	// silentObjectives is the silence before a response after which another runner is tried beside the first, as a multiple
	// of the route's objective.
	silentObjectives = 2
	// minSilence is the shortest such silence.
	minSilence = 400 * time.Millisecond
	// streamSilence is the same within a stream. Sound runners are silent for a second at times; callers give a
	// stream up after two.
	streamSilence = 1500 * time.Millisecond
	// silenceCheckInterval is the pause between two checks whether another runner can be tried.
	silenceCheckInterval = 200 * time.Millisecond
)

// run makes attempts until one is answered or no further one is allowed; it returns a refusal only if nothing has been sent
// to the caller.
func (c *call) run(ctx context.Context) *refusal.Refusal {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deadline := c.d.Clock.AfterFunc(c.deadline.Sub(c.d.Clock.Now())+deadlineGrace, func() { cancel(errDeadline) })
	defer deadline.Stop()
	defer c.endAttempts()
	for {
		if c.current == nil {
			if refused := c.startNext(ctx); refused != nil {
				return c.giveUp(refused)
			}
			if c.current == nil {
				return c.handleCancel(ctx)
			}
		}
		done, refused := c.awaitUpdate(ctx)
		if done {
			return c.giveUp(refused)
		}
		if ctx.Err() != nil {
			return c.handleCancel(ctx)
		}
	}
}

// startNext makes the standby attempt the current one, or begins a new one. Without a refusal, there is none if the context ended.
func (c *call) startNext(ctx context.Context) *refusal.Refusal {
	if c.standby != nil {
		c.current, c.standby = c.standby, nil
		c.recordRunner(c.current)
		return nil
	}
	pick, refused := c.pickRunner(ctx)
	if refused != nil || pick.runner == nil {
		return refused
	}
	c.current = c.startAttempt(ctx, pick)
	c.recordRunner(c.current)
	return nil
}

// awaitUpdate handles the next update of an attempt. It reports whether the request has ended; the refusal, if any, is for the
// caller.
func (c *call) awaitUpdate(ctx context.Context) (bool, *refusal.Refusal) {
	var silence <-chan time.Time
	var lost <-chan struct{}
	if c.standby == nil && c.route.Idempotent() {
		timer := c.d.Clock.NewTimer(c.untilSilent())
		defer timer.Stop()
		silence = timer.Chan()
		lost = c.lost()
	}
	select {
	case u := <-c.current.updates:
		return c.handleUpdate(ctx, c.current, u)
	case u := <-c.standby.updatesOrNil():
		return c.handleUpdate(ctx, c.standby, u)
	case <-silence:
		return c.handleSilence(ctx)
	case <-lost:
		return c.handleSilence(ctx)
	case <-ctx.Done():
	}
	return false, nil
}

// untilSilent returns when to check next whether the current runner has been silent for too long.
func (c *call) untilSilent() time.Duration {
	wait := c.silenceLimit() - c.silentFor()
	if since := c.current.pendingSince; !since.IsZero() {
		wait = min(wait, maxEventTime-c.d.Clock.Since(since))
	}
	return max(wait, silenceCheckInterval)
}

// silenceLimit returns how long the current runner may send nothing to this VM before another one is tried. A runner that is
// merely busy still responds to other requests.
func (c *call) silenceLimit() time.Duration {
	if !c.current.pick.proxied && c.cutOff() {
		return cutOffSilence
	}
	if c.current.response != nil && c.streams(c.current.response) {
		return streamSilence
	}
	return max(silentObjectives*c.route.Objective, minSilence)
}

func (c *call) silentFor() time.Duration {
	return c.current.tracker.silentFor(c.current.pick.runner, c.current.lastUpdate, c.d.Clock.Now())
}

// handleSilence handles a runner that may have been silent for too long. A request of another VM is given back to it if this VM is cut
// off.
func (c *call) handleSilence(ctx context.Context) (bool, *refusal.Refusal) {
	if c.request.Proxied != nil && c.cutOff() && c.silentFor() >= c.silenceLimit() {
		return true, c.outOfReach("this VM reaches no runner any more")
	}
	c.startStandby(ctx)
	return false, nil
}

// startStandby begins a second attempt if the runner of the current one has been silent for too long, or has been sending the
// bytes of one event for too long, and if another runner can take the request.
func (c *call) startStandby(ctx context.Context) {
	if c.silentFor() < c.silenceLimit() && !c.current.eventOverdue(c.d.Clock.Now()) || c.barred() {
		return
	}
	pick := c.choose()
	if pick.runner == nil || !c.takeRetry() {
		return
	}
	c.standby = c.startAttempt(ctx, pick)
}

// prefer makes an attempt that has something to pass on the only one.
func (c *call) prefer(a *attempt) {
	if a == c.standby {
		c.recordSendFailure(c.current.pick, errSilent)
		c.current.tracker.recordResult(c.current.pick.runner, false, c.d.Clock.Now())
		c.end(c.current)
		c.current = a
		c.recordRunner(a)
	} else if c.standby != nil {
		c.end(c.standby)
	}
	c.standby = nil
}

// end ends an attempt and frees its place.
func (c *call) end(a *attempt) {
	a.close()
	a.tracker.requestEnded(a.use)
	switch a {
	case c.current:
		c.current = nil
	case c.standby:
		c.standby = nil
	}
}

// endAttempts ends the attempts that are still in progress; their requests may have run.
func (c *call) endAttempts() {
	c.mayHaveRun = c.mayHaveRun || c.inProgress()
	for _, a := range []*attempt{c.current, c.standby} {
		if a != nil {
			c.end(a)
		}
	}
}

// giveUp returns the refusal, or aborts the connection if the response has already started.
func (c *call) giveUp(refused *refusal.Refusal) *refusal.Refusal {
	if refused != nil && c.responseStarted {
		c.abort(refused.Message)
		return nil
	}
	return refused
}

// handleCancel ends a request whose caller disconnected, whose deadline has passed or whose VM stops.
func (c *call) handleCancel(ctx context.Context) *refusal.Refusal {
	mayHaveRun := c.mayHaveRun || c.inProgress()
	if errors.Is(context.Cause(ctx), ErrStopping) {
		refused := refusal.New(http.StatusServiceUnavailable, refusal.Stopping, ErrStopping.Cause)
		if mayHaveRun {
			refused = refusal.New(http.StatusBadGateway, refusal.Stopping, ErrStopping.Cause).WithRan(refusal.Unknown)
		}
		return c.giveUp(refused)
	}
	if !errors.Is(context.Cause(ctx), errDeadline) {
		c.outcome = Left
		// A caller that only ended its side of the connection must not take what it got for a whole response.
		c.caller.Abort()
		return nil
	}
	refused := refusal.New(http.StatusGatewayTimeout, refusal.TooLate, errDeadline.Cause)
	if mayHaveRun {
		refused = refused.WithRan(refusal.Unknown)
	}
	return c.giveUp(refused)
}

func (c *call) abort(reason string) {
	c.outcome = Aborted
	c.reason = reason
	c.caller.Abort()
}
