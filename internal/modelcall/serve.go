package modelcall

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/admission"
	"github.com/cowsliparch/cowsliparch/internal/burn"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// maxAttempts is how many times one call is sent before it fails.
const maxAttempts = 4

// Serve writes the answer to a call into sink; a refusal after the first event means that the answer is incomplete.
func (h *Handler[R]) Serve(ctx context.Context, call Call, sink Sink) *refusal.Refusal {
	h.Demand.Arrived(call.Model.Name)
	h.retryBudget.RecordCall()
	var p progress
	refused := h.serveWithRetries(ctx, call, sink, &p)
	objectiveMet := refused == nil && p.meetsObjective(call.Objective, call.Arrived)
	h.Metrics.recordCall(call, &p, refused, objectiveMet)
	// A call that a peer forwarded is counted by that peer.
	if !call.Forwarded && (refused != nil || p.tokens > 0) {
		h.Burn.Record(burn.Sample{
			Service: call.Model.Service,
			Class:   call.Model.Class,
			Model:   call.Model.Name,
			Caller:  call.Caller,
			Good:    objectiveMet,
			At:      h.Clock.Now(),
		})
	}
	return refused
}

// serveWithRetries admits a call and sends it until an attempt succeeds or a failure must not be retried.
func (h *Handler[R]) serveWithRetries(ctx context.Context, call Call, sink Sink, p *progress) *refusal.Refusal {
	route, refused := h.admit(call)
	h.Decisions.add(h.Clock.Now(), call, route.name(), route.predicted, refused)
	if refused != nil {
		return refused
	}
	controller := h.admissionController(call.Model.Service)
	defer controller.Release(call.Caller)
	for attempt := 1; ; attempt++ {
		err := h.attempt(ctx, call, route, sink, p, controller)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return cancelledRefusal(p)
		}
		refused, retry := h.handleFailure(err, p, attempt, call)
		next, found := h.chooseRoute(call, route)
		if !retry || !found {
			if p.tokens > 0 {
				event.AnswerCut.Log(h.Logger, slog.String("Request", call.RequestID), event.Error(err))
			}
			return refused
		}
		if p.tokens > 0 {
			event.AnswerResumed.Log(h.Logger, slog.String("Request", call.RequestID), slog.Int("Tokens", p.tokens))
		}
		route = next
		call.AlreadyAdmitted = true
	}
}

// admit chooses a route and checks whether the call can be on time there; a refused call has not run.
func (h *Handler[R]) admit(call Call) (route[R], *refusal.Refusal) {
	best, ok := h.chooseRoute(call, route[R]{})
	if !ok {
		return best, refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint serves "+call.Name+" now").
			WithRetryAfter(noEndpointRetryAfter)
	}
	decision := h.admissionController(call.Model.Service).Decide(admission.Request{
		Caller:          call.Caller,
		Class:           call.Model.Class,
		Bound:           call.Deadline().Sub(h.Clock.Now()),
		AlreadyAdmitted: call.AlreadyAdmitted,
		Predicted:       best.predicted,
		PrefillTime:     best.prefillTime,
	})
	if decision.Admit {
		return best, nil
	}
	code := refusal.TooLate
	if decision.OverShare {
		code = refusal.OverShare
	}
	return best, refusal.New(http.StatusTooManyRequests, code, "the first token would be late").WithRetryAfter(decision.RetryAfter)
}

const noEndpointRetryAfter = 2 * time.Second

// handleFailure returns the refusal for a failed attempt, and whether to retry the call before refusing it.
func (h *Handler[R]) handleFailure(err error, p *progress, attempt int, call Call) (*refusal.Refusal, bool) {
	var foreignErr *endpoint.RequestIDMismatchError
	if errors.As(err, &foreignErr) {
		event.ForeignAnswerDropped.Log(h.Logger, slog.String("Request", call.RequestID), event.Error(err))
	}
	var sinkErr *sinkError
	if errors.As(err, &sinkErr) {
		return cancelledRefusal(p), false
	}
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		refused = failureRefusal(err, p)
	}
	retry := attempt < maxAttempts && retryable(err) && h.retryBudget.TakeRetry()
	return refused, retry
}

// retryable reports whether another endpoint may answer where one failed; retries are safe as model calls are idempotent.
func retryable(err error) bool {
	var statusErr *endpoint.StatusError
	if errors.As(err, &statusErr) && statusErr.Status != 0 {
		return statusErr.Status == http.StatusNotFound || statusErr.Status >= http.StatusInternalServerError
	}
	return true
}

func failureRefusal(err error, p *progress) *refusal.Refusal {
	if p.tokens > 0 {
		return refusal.New(http.StatusBadGateway, refusal.AnswerBroken, "the answer broke off").WithRan(refusal.Unknown)
	}
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) {
		return refusal.New(http.StatusBadGateway, refusal.NoEndpoint, "no endpoint was reached").WithRetryAfter(noEndpointRetryAfter)
	}
	var statusErr *endpoint.StatusError
	if errors.As(err, &statusErr) {
		return refusal.New(http.StatusBadGateway, refusal.EndpointDeclined, err.Error())
	}
	return refusal.New(http.StatusBadGateway, refusal.AnswerBroken, "no answer came").WithRan(refusal.Unknown)
}

func cancelledRefusal(p *progress) *refusal.Refusal {
	refused := refusal.New(statusClientClosedRequest, refusal.AnswerBroken, "the caller went away")
	if p.tokens > 0 {
		return refused.WithRan(refusal.Unknown)
	}
	return refused
}

// statusClientClosedRequest is nginx's non-standard status for a client that closed the connection.
const statusClientClosedRequest = 499

// sinkError reports that the answer could not be written to the caller.
type sinkError struct {
	cause error
}

func (e *sinkError) Error() string { return "write answer to caller: " + e.cause.Error() }
func (e *sinkError) Unwrap() error { return e.cause }

// relay copies an answer to the sink until it ends; an error after the final event does not make the answer incomplete.
func (h *Handler[R]) relay(call Call, response endpoint.Response, sink Sink, p *progress, onFirstToken func()) error {
	if !call.Stream {
		body, err := response.ReadAll()
		if err != nil {
			return err
		}
		onFirstToken()
		p.addToken(h.Clock.Now())
		return wrapSinkError(sink.Body(body))
	}
	started := false
	final := false
	for {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) || (err != nil && final) {
			return wrapSinkError(sink.Done())
		}
		if err != nil {
			return err
		}
		if !started {
			started = true
			onFirstToken()
		}
		if err := sink.Event(chunk.Data); err != nil {
			return &sinkError{cause: err}
		}
		final = chunk.Final
		if !final {
			p.addToken(h.Clock.Now())
		}
	}
}

func wrapSinkError(err error) error {
	if err == nil {
		return nil
	}
	return &sinkError{cause: err}
}
