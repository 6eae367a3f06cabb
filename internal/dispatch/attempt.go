package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// maxWholeBytes bounds an answer that is read whole before any of it is passed on.
	maxWholeBytes = 1 << 20
	// headStall is how many objectives a runner may be silent before the request goes elsewhere, where it may.
	headStall = 2
	// leastStall is the least time for which a runner's silence is borne.
	leastStall = 400 * time.Millisecond
	// absentFor is how long a runner's word that it lacks a model is believed.
	absentFor = time.Second
)

// attempt sends the request to one runner and passes the answer on. It reports whether the request should go to another
// runner; the refusal is what to tell the caller if not.
func (c *call) attempt(ctx context.Context, pick choice) (bool, *refusal.Refusal) {
	c.pick = pick
	c.runner = pick.runner.ID
	c.tried = append(c.tried, pick.runner.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := c.d.Clock.Now()
	w := c.wanted()
	use := roster.Use{
		Runner:  pick.runner.ID,
		Model:   w.model,
		Adapter: w.adapter,
	}
	c.d.Tracker.sent(use, sent)
	defer func() { c.d.Tracker.ended(use, c.d.Clock.Now().Sub(sent)) }()
	stop := c.watchSilence(cancel, pick, sent)
	answer, err := c.d.Sender.Send(ctx, pick.runner, c.request, c.try(pick.runner))
	stop()
	if err != nil {
		return c.unanswered(ctx, pick, err)
	}
	defer answer.Close()
	c.sends++
	c.d.Tracker.heard(pick.runner, c.d.Clock.Now())
	if answer.Load != nil {
		c.d.Tracker.told(pick.runner, *answer.Load, c.d.Clock.Now())
	}
	if answer.NotRun || answer.Misdirected {
		return c.declined(pick, answer)
	}
	c.mayHaveRun = true
	if answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices {
		again, refused := c.relay(ctx, pick, answer)
		if c.outcome == Answered && c.request.Model != "" {
			c.d.Wants.Took(c.service.Name, c.request.Model, c.d.Clock.Now().Sub(sent), c.late())
		}
		return again, refused
	}
	return c.runnerFailed(ctx, pick, answer)
}

// watchSilence ends a send when the runner has been silent towards all requests of this VM and this one may go to another
// runner. A runner that is only busy still answers others. The watch goes on until stop is called.
func (c *call) watchSilence(cancel context.CancelCauseFunc, pick choice, sent time.Time) (stop func()) {
	if !c.route.Idempotent() {
		return func() {}
	}
	wait := max(headStall*c.route.Objective, leastStall)
	ended := make(chan struct{})
	go func() {
		for {
			timer := c.d.Clock.NewTimer(wait)
			select {
			case <-ended:
				timer.Stop()
				return
			case <-timer.Chan():
			}
			if c.silent(pick, sent, wait) && c.hasAlternative() {
				cancel(errStalled)
				return
			}
		}
	}()
	return func() { close(ended) }
}

// silent reports whether nothing came from the runner for a time.
func (c *call) silent(pick choice, sent time.Time, wait time.Duration) bool {
	return c.d.Tracker.silentFor(pick.runner, sent, c.d.Clock.Now()) >= wait
}

// unanswered handles a send without an answer.
func (c *call) unanswered(ctx context.Context, pick choice, err error) (bool, *refusal.Refusal) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) {
		c.mayHaveRun = true
		return false, nil
	}
	c.sendFailed(pick, err)
	var full *outbound.CapError
	if errors.As(err, &full) {
		return true, nil
	}
	c.d.Tracker.judged(pick.runner, false, c.d.Clock.Now())
	var unsent *endpoint.UnsentError
	if errors.As(err, &unsent) {
		return true, nil
	}
	c.sends++
	c.mayHaveRun = true
	return c.repeat("the runner did not answer")
}

// repeat lets a request that may have run go to another runner, where it may; if not, the message says why it failed.
func (c *call) repeat(message string) (bool, *refusal.Refusal) {
	if c.route.Idempotent() && c.mayTryAgain() {
		return true, nil
	}
	return false, refusal.New(http.StatusBadGateway, refusal.AnswerBroken, message).WithRan(refusal.Unknown)
}

// declined handles a runner's word that it did not run the request.
func (c *call) declined(pick choice, answer *Answer) (bool, *refusal.Refusal) {
	drain(answer)
	c.sendFailed(pick, &DeclinedError{Status: answer.Status})
	if answer.Misdirected && c.request.Model != "" {
		c.d.Tracker.Learn(pick.runner.ID, c.request.Model, c.request.Adapter, false, c.d.Clock.Now(), absentFor)
	} else {
		c.d.Tracker.judged(pick.runner, false, c.d.Clock.Now())
	}
	if c.mayTryAgain() {
		return true, nil
	}
	if c.mayHaveRun {
		return false, refusal.New(http.StatusBadGateway, refusal.EndpointDeclined, "the runners declined the request").WithRan(refusal.Unknown)
	}
	return false, refusal.New(http.StatusServiceUnavailable, refusal.EndpointDeclined, "the runner declined the request").
		WithRetryAfter(busyRetry)
}

// drain reads an answer to its end, which leaves its connection fit for the next request.
func drain(answer *Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxWholeBytes))
}

// DeclinedError reports a runner that declined a request without running it.
type DeclinedError struct {
	Status int
}

// Error implements error.
func (e *DeclinedError) Error() string { return "declined with " + http.StatusText(e.Status) }

// runnerFailed handles an answer that is no success and does not say that the request has not run.
func (c *call) runnerFailed(ctx context.Context, pick choice, answer *Answer) (bool, *refusal.Refusal) {
	serverFault := answer.Status >= http.StatusInternalServerError
	c.d.Tracker.faulted(pick.runner, serverFault, c.d.Clock.Now())
	if serverFault && c.route.Idempotent() && (c.begun || c.hasAlternative()) && c.mayTryAgain() {
		c.sendFailed(pick, &DeclinedError{Status: answer.Status})
		drain(answer)
		return true, nil
	}
	if c.begun {
		return false, refusal.New(http.StatusBadGateway, refusal.AnswerBroken, "the stream could not go on")
	}
	return c.relayWhole(ctx, pick, answer)
}

// late reports whether the answer began after the objective or paused for longer than the route wants.
func (c *call) late() bool {
	return c.first.Sub(c.request.Arrived) > c.route.Objective || (c.route.MaxPause > 0 && c.pause > c.route.MaxPause)
}

// relay passes a success on.
func (c *call) relay(ctx context.Context, pick choice, answer *Answer) (bool, *refusal.Refusal) {
	if c.route.Kind == catalog.Streaming {
		return c.relayStream(ctx, pick, answer)
	}
	return c.relayWhole(ctx, pick, answer)
}
