package dispatch

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/outbound"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// modelAbsentTTL is how long a runner's statement that it lacks a model is relied on.
const modelAbsentTTL = time.Second

// handleUpdate handles an update of an attempt. It reports whether the request has ended; the refusal, if any, is for the caller.
func (c *call) handleUpdate(ctx context.Context, a *attempt, u update) (bool, *refusal.Refusal) {
	defer u.recycle()
	if ctx.Err() != nil {
		return false, nil
	}
	a.lastUpdate = u.at
	switch {
	case a.response != nil:
		if len(u.data) > 0 {
			a.tracker.dataReceived(a.pick.runner, a.lastUpdate)
		}
		return c.handleBody(ctx, a, u)
	case u.err != nil:
		return c.handleSendError(a, u.err)
	default:
		return c.handleHead(a, u.response)
	}
}

// handleHead handles the status and header of a response.
func (c *call) handleHead(a *attempt, response *Response) (bool, *refusal.Refusal) {
	a.response = response
	a.headBytes = headSize(response.Header)
	a.tracker.dataReceived(a.pick.runner, a.lastUpdate)
	a.tracker.responseReceived(a.pick.runner, response, a.lastUpdate)
	if response.Load != nil {
		a.tracker.loadReported(a.pick.runner, *response.Load, a.lastUpdate)
	}
	if response.Refused != nil {
		return c.handleProxyRefusal(a)
	}
	if response.declined() {
		return c.handleDecline(a)
	}
	c.mayHaveRun = true
	if !response.successful() {
		return c.handleErrorStatus(a)
	}
	a.holds = true
	if err := a.hold(nil); err != nil {
		return c.handleBreak(a, err)
	}
	if c.responseStarted && !c.continues(response) {
		return c.handleBreak(a, &ResumeError{
			Status:      response.Status,
			ContentType: response.Header.Get("Content-Type"),
		})
	}
	return false, nil
}

// ResumeError reports a response that does not continue the stream that the caller has begun to receive.
type ResumeError struct {
	Status      int
	ContentType string
	// EventID is the ID of its first event if that does not follow the last one that the caller has.
	EventID string
}

// Error implements error.
func (e *ResumeError) Error() string { return "the response does not continue the stream" }

// continues reports whether a response can go on with the stream that the caller has begun to receive.
func (c *call) continues(response *Response) bool {
	return response.Status == c.status && response.Header.Get("Content-Type") == c.contentType
}

// handleSendError handles an attempt without a response.
func (c *call) handleSendError(a *attempt, err error) (bool, *refusal.Refusal) {
	c.recordSendFailure(a.pick, err)
	var atLimit *outbound.ConnectionLimitError
	if errors.As(err, &atLimit) {
		c.attempts--
		c.end(a)
		return false, nil
	}
	a.tracker.recordResult(a.pick.runner, false, a.lastUpdate)
	c.recordReachFailure(a, err)
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) {
		if errors.Is(err, syscall.ECONNREFUSED) && !a.pick.proxied {
			c.d.Guard.RecordUnreachable(a.pick.runner)
		}
		c.attempts--
		if a.pick.proxied {
			c.proxiesDeclined++
		}
		c.end(a)
		return false, nil
	}
	c.mayHaveRun = true
	c.recordStrike(a, err)
	return c.retryOrFail(a, "the runner did not answer")
}

// handleBreak handles a response that ended early, or that can't be passed on.
func (c *call) handleBreak(a *attempt, err error) (bool, *refusal.Refusal) {
	c.recordSendFailure(a.pick, &endpoint.TruncatedError{Cause: err})
	a.tracker.recordResult(a.pick.runner, false, a.lastUpdate)
	c.recordReachFailure(a, err)
	c.recordStrike(a, err)
	if a.begun {
		var unconfirmed *outbound.UnconfirmedEndError
		c.endUnconfirmed = errors.As(err, &unconfirmed) && len(a.events.pending) == 0
	}
	return c.retryOrFail(a, "the answer broke off")
}

// retryOrFail ends an attempt whose request may have run. The request goes on with the other attempt, if there is one, or with a
// further one if the route and the budget allow it, and otherwise fails with message.
func (c *call) retryOrFail(a *attempt, message string) (bool, *refusal.Refusal) {
	c.end(a)
	if c.inProgress() || (c.route.Idempotent() && c.takeRetry()) {
		return false, nil
	}
	return true, refusal.New(http.StatusBadGateway, refusal.AnswerBroken, message).WithRan(refusal.Unknown)
}

// inProgress reports whether any attempt is in progress.
func (c *call) inProgress() bool { return c.current != nil || c.standby != nil }

// handleDecline handles a response by which the runner states that it did not execute the request.
func (c *call) handleDecline(a *attempt) (bool, *refusal.Refusal) {
	a.drain(c.d.Clock)
	c.recordSendFailure(a.pick, &StatusError{Status: a.response.Status})
	if a.response.Misdirected && c.request.Model != "" {
		c.d.Tracker.Observe(a.pick.runner.ID, c.request.Model, c.request.Adapter, false, a.lastUpdate, modelAbsentTTL)
	} else {
		a.tracker.recordResult(a.pick.runner, false, a.lastUpdate)
	}
	c.end(a)
	if c.inProgress() || c.takeRetry() {
		return false, nil
	}
	if c.mayHaveRun {
		return true, refusal.New(http.StatusBadGateway, refusal.EndpointDeclined, "the runners declined the request").WithRan(refusal.Unknown)
	}
	return true, refusal.New(http.StatusServiceUnavailable, refusal.EndpointDeclined, "the runner declined the request").
		WithRetryAfter(c.retryAfter(a.pick.score))
}

// StatusError reports an HTTP status by which a runner declined or failed a request.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "runner responded with " + http.StatusText(e.Status) }

// handleErrorStatus handles a response with an error status that does not state that the request was not executed. The caller gets
// it unless another attempt may still succeed, a part of a stream was already passed on, or its status alone would state that to the
// caller.
func (c *call) handleErrorStatus(a *attempt) (bool, *refusal.Refusal) {
	misleading := refusal.StatesNotRun(a.response.Status)
	failed := misleading || a.response.Status >= http.StatusInternalServerError
	a.tracker.recordServerError(a.pick.runner, failed, a.lastUpdate)
	replaced := false
	if !c.responseStarted && a == c.current {
		replaced = c.replaceable(a, failed)
		if !replaced && !misleading {
			return false, nil
		}
	}
	c.recordSendFailure(a.pick, &StatusError{Status: a.response.Status})
	a.drain(c.d.Clock)
	c.end(a)
	if replaced || c.inProgress() || (c.responseStarted && failed && c.route.Idempotent() && c.takeRetry()) {
		return false, nil
	}
	message := "the stream could not be resumed"
	if !c.responseStarted {
		message = "the runner failed the request, which may have run"
	}
	return true, refusal.New(http.StatusBadGateway, refusal.AnswerBroken, message).WithRan(refusal.Unknown)
}

// replaceable reports whether a request whose current runner failed it goes on with another one. The retry is taken before the
// response is given up. A VM through which the request was sent has tried other runners already.
func (c *call) replaceable(a *attempt, failed bool) bool {
	return failed && (c.standby != nil || (!a.pick.proxied && c.route.Idempotent() && c.hasAlternative() && c.takeRetry()))
}

// recordAnswered records how long a runner took for a response that was received to its end.
func (c *call) recordAnswered(a *attempt) {
	now := c.d.Clock.Now()
	c.outcome = Answered
	a.tracker.recordResult(a.pick.runner, true, now)
	took := c.serviceTime(a.sent)
	a.tracker.recordServiceTime(a.pick.runner.Service, time.Duration(float64(took)/a.pick.paceFactor))
	if c.attempts == 1 {
		a.tracker.recordPauses(c.service.Name, c.pauseRequirement(), c.longestGap, a.pick.pace, now)
	}
	c.recordServed(took)
	if c.request.Model != "" && !a.pick.proxied {
		c.d.Demand.RecordDuration(c.service.Name, c.request.Model, now.Sub(a.sent), c.late())
	}
}

// serviceTime estimates how long the runner worked on the request: since its first data, and a short time before.
func (c *call) serviceTime(sent time.Time) time.Duration {
	now := c.d.Clock.Now()
	return now.Sub(c.firstByteAt) + min(max(c.firstByteAt.Sub(sent), 0), maxFirstTokenWork)
}

// late reports whether the response started after the objective or paused for longer than the route allows.
func (c *call) late() bool {
	return c.firstByteAt.Sub(c.request.Arrived) > c.route.Objective || c.paused()
}

// paused reports whether the response paused for longer than the route allows.
func (c *call) paused() bool { return c.route.MaxEventGap > 0 && c.longestGap > c.route.MaxEventGap }

// streams reports whether a response is passed on event by event.
func (c *call) streams(response *Response) bool {
	return c.route.Kind == catalog.Streaming && response.successful()
}
