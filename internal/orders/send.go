package orders

import (
	"context"
	"errors"
	"log/slog"
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/pause"
)

// sendOrder sends an order until it is answered and reports whether it was accepted. All attempts carry the same order
// count, so the runner carries it out at most once.
func (e *stepExecution) sendOrder(ctx context.Context, o Order) bool {
	for range orderAttempts {
		fence, ok := e.controller.Lease.Fence()
		if !ok || ctx.Err() != nil {
			return false
		}
		o.ExpectedOrders, o.Fence, o.Holder = e.orderCount, fence, e.controller.Holder
		sendCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		answer, err := e.controller.Client.Order(sendCtx, e.runner, o)
		cancel()
		result := answer.Result
		e.controller.Metrics.countOrder(result, err)
		if err != nil {
			e.logLost(o, err)
			var notSent *endpoint.NotSentError
			if errors.As(err, &notSent) && !e.registered() {
				return false
			}
			pause.For(ctx, e.controller.Clock, retryDelay)
			continue
		}
		if answer.Leaving {
			e.recordLeaving()
		}
		switch result {
		case Accepted, AlreadyInState:
			return e.handleAccepted(o, result)
		case Conflict:
			e.logDeclined(o, result)
			return e.resyncAfterConflict(ctx, o)
		case Fenced:
			e.logDeclined(o, result)
			e.controller.Lease.FenceRejected(fence)
			return false
		default:
			e.logDeclined(o, result)
			e.synced = false
			return false
		}
	}
	e.synced = false
	return false
}

// recordLeaving records that the runner has stated that it is about to stop.
func (e *stepExecution) recordLeaving() {
	e.controller.Departures.RecordLeaving(e.runner, e.controller.Clock.Now())
}

// registered reports whether this incarnation of the runner is still in the roster.
func (e *stepExecution) registered() bool {
	r, ok := e.controller.Roster().Runner(e.runner.ID)
	return ok && r.Incarnation == e.runner.Incarnation
}

func (e *stepExecution) handleAccepted(o Order, result Result) bool {
	event.OrderAccepted.Log(e.controller.Logger, append(e.orderAttrs(o), slog.String("Result", string(result)))...)
	if result == Accepted || o.Unload {
		e.orderCount++
	} else {
		e.synced = false
	}
	return true
}

// resyncAfterConflict reads the runner's state after a conflict and reports whether the order was carried out after all.
func (e *stepExecution) resyncAfterConflict(ctx context.Context, o Order) bool {
	e.synced = false
	if !e.syncState(ctx) {
		return false
	}
	adapters, held := e.models[o.Model]
	if o.Adapter != "" {
		held = slices.Contains(adapters, o.Adapter)
	}
	return held != o.Unload
}

func (e *stepExecution) orderAttrs(o Order) []slog.Attr {
	return []slog.Attr{
		slog.String("Runner", e.runner.ID),
		slog.Bool("Unload", o.Unload),
		slog.String("Model", o.Model),
		slog.String("Adapter", o.Adapter),
		slog.Uint64("Expect", o.ExpectedOrders),
		slog.Uint64("Fence", o.Fence),
	}
}

func (e *stepExecution) logDeclined(o Order, result Result) {
	event.OrderDeclined.Log(e.controller.Logger, append(e.orderAttrs(o), slog.String("Result", string(result)))...)
}

func (e *stepExecution) logLost(o Order, err error) {
	event.OrderLost.Log(e.controller.Logger, append(e.orderAttrs(o), event.Error(err))...)
}
