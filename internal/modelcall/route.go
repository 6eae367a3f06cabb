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

// route is where a call goes: an endpoint of this failure domain, or a VM of another.
type route[R Remote] struct {
	local     *directory.Endpoint
	remote    R
	isRemote  bool
	predicted time.Duration
	// cost is the time for the call's own prompt.
	cost time.Duration
}

func (r route[R]) name() string {
	if r.isRemote {
		return r.remote.Domain()
	}
	if r.local != nil {
		return r.local.VM.Name
	}
	return ""
}

// choose prefers this failure domain while the call would be on time here, and spills to the nearest group of
// remotes that is faster otherwise.
func (h *Handler[R]) choose(call Call, exclude route[R]) (route[R], bool) {
	now := h.Clock.Now()
	var best route[R]
	local, found := routing.Choose(h.View().Serving(call.Model.Name), exclude.local, call.Prefill, now, nil)
	if found {
		best = route[R]{
			local:     local.Candidate,
			predicted: local.Predicted,
			cost:      local.Candidate.Load.Cost(call.Prefill),
		}
	}
	if call.Hop || (found && routing.Stays(best.predicted, call.Deadline().Sub(now))) {
		return best, found
	}
	for _, group := range h.Neighbours.Serving(call.Model.Name) {
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

// attempt sends a call once and relays its answer.
func (h *Handler[R]) attempt(ctx context.Context, call Call, to route[R], sink Sink, p *progress, controller *admission.Controller) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := h.Clock.Now()
	observe := func() {
		controller.FirstToken(call.Model.Class, h.Clock.Now().After(call.Deadline()))
	}
	if to.isRemote {
		return h.attemptRemote(ctx, call, to, sink, p, observe)
	}
	load := to.local.Load
	load.Sent(call.Prefill)
	started := false
	defer func() { load.Ended(call.Prefill, started, h.Clock.Now().Sub(sent)) }()
	err := h.attemptLocal(ctx, call, to.local, sink, p, func() {
		started = true
		load.FirstToken(call.Prefill)
		if call.Stream {
			observe()
		}
	})
	h.judge(ctx, to.local, err)
	if err == nil {
		h.Answered(call.Model.Name, h.Clock.Now().Sub(sent))
	}
	return err
}

func (h *Handler[R]) attemptLocal(ctx context.Context, call Call, to *directory.Endpoint, sink Sink, p *progress, first func()) error {
	answer, err := h.Engine.Generate(ctx, to.VM.Address, endpoint.Generation{
		RequestID:  call.RequestID,
		Body:       call.Body,
		Priority:   int(call.Priority()),
		ResumeFrom: call.ResumeFrom + p.tokens,
		Stream:     call.Stream,
	})
	if err != nil {
		return err
	}
	defer answer.Close()
	return h.relay(call, answer, sink, p, first)
}

func (h *Handler[R]) attemptRemote(ctx context.Context, call Call, to route[R], sink Sink, p *progress, first func()) error {
	answer, err := to.remote.Generate(ctx, call.WithResumeFrom(call.ResumeFrom+p.tokens))
	if err != nil {
		return err
	}
	defer answer.Close()
	h.Metrics.crossed(to.remote.Domain())
	return h.relay(call, answer, sink, p, first)
}

// judge lets an endpoint's circuit know how an attempt went; what the caller did is not held against it.
func (h *Handler[R]) judge(ctx context.Context, e *directory.Endpoint, err error) {
	var gone *sinkError
	var status *endpoint.StatusError
	if ctx.Err() != nil || errors.As(err, &gone) || (errors.As(err, &status) && status.Status < 500 && status.Status != 0) {
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
