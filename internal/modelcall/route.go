package modelcall

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/admission"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/routing"
)

// route is the destination of a call: an endpoint of this failure domain, or an entry VM of another one.
type route[R Remote] struct {
	local    *directory.Endpoint
	remote   R
	isRemote bool
	// predicted is the expected time to the first token.
	predicted time.Duration
	// prefillTime is the endpoint's time for the call's own prompt; it is zero for a remote.
	prefillTime time.Duration
}

// name returns the VM name of the endpoint or the failure domain of the remote, or "" if there is no route.
func (r route[R]) name() string {
	if r.isRemote {
		return r.remote.Domain()
	}
	if r.local != nil {
		return r.local.VM.Name
	}
	return ""
}

// chooseRoute returns an endpoint of this failure domain if the call is predicted to be on time there. Otherwise it returns
// a remote of the nearest group that is predicted to be faster, if any. exclude is the route that has just failed, if any.
func (h *Handler[R]) chooseRoute(call Call, exclude route[R]) (route[R], bool) {
	now := h.Clock.Now()
	var best route[R]
	local, found := routing.Choose(h.View().Serving(call.Model.Name), exclude.local, call.Prefill, now, nil)
	if found {
		best = route[R]{
			local:       local.Candidate,
			predicted:   local.Predicted,
			prefillTime: local.Candidate.Load.Cost(call.Prefill),
		}
	}
	if call.Forwarded || (found && routing.KeepLocal(best.predicted, call.Deadline().Sub(now))) {
		return best, found
	}
	for _, group := range h.Remotes.Serving(call.Model.Name) {
		choice, ok := routing.Choose(group, exclude.remote, call.Prefill, now, nil)
		if ok && (!found || choice.Predicted < best.predicted) {
			return route[R]{
				remote:    choice.Candidate,
				isRemote:  true,
				predicted: choice.Predicted,
			}, true
		}
	}
	return best, found
}

// attempt sends a call to its target once and relays the answer.
func (h *Handler[R]) attempt(ctx context.Context, call Call, target route[R], sink Sink, p *progress, controller *admission.Controller) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sentAt := h.Clock.Now()
	recordFirstToken := func() {
		controller.FirstToken(call.Model.Class, h.Clock.Now().After(call.Deadline()))
	}
	if target.isRemote {
		return h.attemptRemote(ctx, call, target, sink, p, recordFirstToken)
	}
	load := target.local.Load
	load.Sent(call.Prefill)
	gotFirstToken := false
	defer func() { load.Ended(call.Prefill, gotFirstToken, h.Clock.Now().Sub(sentAt)) }()
	err := h.attemptLocal(ctx, call, target.local, sink, p, func() {
		gotFirstToken = true
		load.FirstToken(call.Prefill)
		if call.Stream {
			recordFirstToken()
		}
	})
	h.updateCircuit(ctx, target.local, err)
	if err == nil {
		h.OnAnswered(call.Model.Name, h.Clock.Now().Sub(sentAt))
	}
	return err
}

func (h *Handler[R]) attemptLocal(ctx context.Context, call Call, target *directory.Endpoint, sink Sink, p *progress, onFirstToken func()) error {
	response, err := h.Engine.Generate(ctx, target.VM.Address, endpoint.GenerateRequest{
		RequestID:  call.RequestID,
		Body:       call.Body,
		Priority:   int(call.Priority()),
		ResumeFrom: call.ResumeFrom + p.tokens,
		Stream:     call.Stream,
	})
	if err != nil {
		return err
	}
	defer response.Close()
	return h.relay(call, response, sink, p, onFirstToken)
}

func (h *Handler[R]) attemptRemote(ctx context.Context, call Call, target route[R], sink Sink, p *progress, onFirstToken func()) error {
	response, err := target.remote.Generate(ctx, call.WithResumeFrom(call.ResumeFrom+p.tokens))
	if err != nil {
		return err
	}
	defer response.Close()
	h.Metrics.countSpilled(target.remote.Domain())
	return h.relay(call, response, sink, p, onFirstToken)
}

// updateCircuit reports the result of an attempt to the endpoint's circuit breaker. Errors that the caller brought about,
// such as a closed connection or an HTTP status below 500, do not count.
func (h *Handler[R]) updateCircuit(ctx context.Context, e *directory.Endpoint, err error) {
	var sinkErr *sinkError
	var statusErr *endpoint.StatusError
	if ctx.Err() != nil || errors.As(err, &sinkErr) || (errors.As(err, &statusErr) && statusErr.Status < 500 && statusErr.Status != 0) {
		return
	}
	if err == nil {
		e.Load.Succeeded()
		return
	}
	if e.Load.Failed(h.Clock.Now()) {
		event.EndpointUnreachable.Log(h.Logger, slog.String("Endpoint", e.VM.Name), event.Error(err))
	}
}
