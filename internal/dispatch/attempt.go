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
	// maxBufferedBytes limits a response that is read completely before any of it is passed on.
	maxBufferedBytes = 1 << 20
	// stallObjectives is the silence after which an idempotent request is retried at another runner, as a multiple of the
	// route's objective.
	stallObjectives = 2
	// minStall is the shortest silence after which such a request is retried.
	minStall = 400 * time.Millisecond
	// maxDrainBytes and drainTimeout limit what is read of a response that is not passed on, to reuse its connection.
	maxDrainBytes = 64 << 10
	drainTimeout  = 100 * time.Millisecond
	// maxFirstTokenWork is how long a runner works on a request at most before it sends the first data; beyond that, the request
	// waited for a slot.
	maxFirstTokenWork = 150 * time.Millisecond
	// modelAbsentTTL is how long a runner's statement that it lacks a model is relied on.
	modelAbsentTTL = time.Second
)

// attempt sends the request to one runner and relays the response. It reports whether to retry at another runner; if not,
// the refusal, if any, is for the caller.
func (c *call) attempt(ctx context.Context, pick choice) (bool, *refusal.Refusal) {
	c.pick = pick
	c.runner = pick.runner.ID
	c.tried = append(c.tried, pick.runner.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := c.d.Clock.Now()
	needs := c.requirements()
	use := roster.ModelUse{
		Runner:  pick.runner.ID,
		Model:   needs.model,
		Adapter: needs.adapter,
	}
	c.d.Tracker.requestSent(use, sent)
	defer c.d.Tracker.requestEnded(use)
	stop := c.cancelOnStall(cancel, pick, sent)
	response, err := c.d.Sender.Send(ctx, pick.runner, c.request, c.newAttempt(pick.runner))
	stop()
	if err != nil {
		return c.handleSendError(ctx, pick, err)
	}
	defer response.Close()
	c.attempts++
	c.d.Tracker.dataReceived(pick.runner, c.d.Clock.Now())
	c.d.Tracker.responseReceived(pick.runner, response, c.d.Clock.Now())
	if response.Load != nil {
		c.d.Tracker.loadReported(pick.runner, *response.Load, c.d.Clock.Now())
	}
	if response.NotRun || response.Misdirected {
		return c.handleDecline(pick, response)
	}
	c.mayHaveRun = true
	if response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices {
		retry, refused := c.relay(ctx, pick, response)
		if c.outcome == Answered {
			c.d.Tracker.recordServiceTime(c.service.Name, c.serviceTime(sent))
		}
		if c.outcome == Answered && c.request.Model != "" {
			c.d.Demand.RecordDuration(c.service.Name, c.request.Model, c.d.Clock.Now().Sub(sent), c.late())
		}
		return retry, refused
	}
	return c.handleErrorStatus(ctx, pick, response)
}

// serviceTime estimates how long the runner worked on the request: since its first data, and a short time before.
func (c *call) serviceTime(sent time.Time) time.Duration {
	now := c.d.Clock.Now()
	return now.Sub(c.firstByteAt) + min(max(c.firstByteAt.Sub(sent), 0), maxFirstTokenWork)
}

// cancelOnStall cancels an attempt at an idempotent request once the runner has sent nothing to this VM for too long and
// another runner can take the request. A runner that is merely busy still responds to other requests. The check repeats
// until stop is called.
func (c *call) cancelOnStall(cancel context.CancelCauseFunc, pick choice, sent time.Time) (stop func()) {
	if !c.route.Idempotent() {
		return func() {}
	}
	wait := max(stallObjectives*c.route.Objective, minStall)
	done := make(chan struct{})
	go func() {
		for {
			timer := c.d.Clock.NewTimer(wait)
			select {
			case <-done:
				timer.Stop()
				return
			case <-timer.Chan():
			}
			if c.stalled(pick, sent, wait) && c.hasAlternative() {
				cancel(errStalled)
				return
			}
		}
	}()
	return func() { close(done) }
}

// stalled reports whether nothing has come from the runner for at least the given time.
func (c *call) stalled(pick choice, sent time.Time, wait time.Duration) bool {
	return c.d.Tracker.silentFor(pick.runner, sent, c.d.Clock.Now()) >= wait
}

// handleSendError handles an attempt without a response.
func (c *call) handleSendError(ctx context.Context, pick choice, err error) (bool, *refusal.Refusal) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) {
		c.mayHaveRun = true
		return false, nil
	}
	c.recordSendFailure(pick, err)
	var atLimit *outbound.ConnectionLimitError
	if errors.As(err, &atLimit) {
		return true, nil
	}
	c.d.Tracker.recordResult(pick.runner, false, c.d.Clock.Now())
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) {
		return true, nil
	}
	c.attempts++
	c.mayHaveRun = true
	return c.retryOrFail("the runner did not answer")
}

// retryOrFail retries a request that may have run if the route and the budget allow it, and otherwise fails with message.
func (c *call) retryOrFail(message string) (bool, *refusal.Refusal) {
	if c.route.Idempotent() && c.takeRetry() {
		return true, nil
	}
	return false, refusal.New(http.StatusBadGateway, refusal.AnswerBroken, message).WithRan(refusal.Unknown)
}

// handleDecline handles a response by which the runner states that it did not execute the request.
func (c *call) handleDecline(pick choice, response *Response) (bool, *refusal.Refusal) {
	c.drain(response)
	c.recordSendFailure(pick, &StatusError{Status: response.Status})
	if response.Misdirected && c.request.Model != "" {
		c.d.Tracker.Observe(pick.runner.ID, c.request.Model, c.request.Adapter, false, c.d.Clock.Now(), modelAbsentTTL)
	} else {
		c.d.Tracker.recordResult(pick.runner, false, c.d.Clock.Now())
	}
	if c.takeRetry() {
		return true, nil
	}
	if c.mayHaveRun {
		return false, refusal.New(http.StatusBadGateway, refusal.EndpointDeclined, "the runners declined the request").WithRan(refusal.Unknown)
	}
	return false, refusal.New(http.StatusServiceUnavailable, refusal.EndpointDeclined, "the runner declined the request").
		WithRetryAfter(c.retryAfter(pick.score))
}

// drain reads a short response to its end, so that its connection can be reused. One that does not end soon is left unread, and
// its connection is closed with it.
func (c *call) drain(response *Response) {
	if response.Length > maxDrainBytes {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	}()
	timer := c.d.Clock.NewTimer(drainTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.Chan():
	}
}

// StatusError reports an HTTP status by which a runner declined or failed a request.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "runner responded with " + http.StatusText(e.Status) }

// handleErrorStatus handles a response with an error status that does not state that the request was not executed.
func (c *call) handleErrorStatus(ctx context.Context, pick choice, response *Response) (bool, *refusal.Refusal) {
	serverError := response.Status >= http.StatusInternalServerError
	c.d.Tracker.recordServerError(pick.runner, serverError, c.d.Clock.Now())
	if serverError && c.route.Idempotent() && (c.responseStarted || c.hasAlternative()) && c.takeRetry() {
		c.recordSendFailure(pick, &StatusError{Status: response.Status})
		c.drain(response)
		return true, nil
	}
	if c.responseStarted {
		return false, refusal.New(http.StatusBadGateway, refusal.AnswerBroken, "the stream could not be resumed")
	}
	return c.relayBuffered(ctx, pick, response)
}

// late reports whether the response started after the objective or paused for longer than the route allows.
func (c *call) late() bool {
	return c.firstByteAt.Sub(c.request.Arrived) > c.route.Objective || (c.route.MaxEventGap > 0 && c.longestGap > c.route.MaxEventGap)
}

// relay passes a successful response on to the caller.
func (c *call) relay(ctx context.Context, pick choice, response *Response) (bool, *refusal.Refusal) {
	if c.route.Kind == catalog.Streaming {
		return c.relayStream(ctx, pick, response)
	}
	return c.relayBuffered(ctx, pick, response)
}
