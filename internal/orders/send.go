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

// send sends an order until it is answered, and reports whether it was accepted. Every try bears the same count of orders,
// so the runner carries it out once at most.
func (e *execution) send(ctx context.Context, o Order) bool {
	for range orderTries {
		fence, ok := e.steward.Lease.Fence()
		if !ok || ctx.Err() != nil {
			return false
		}
		o.Expect, o.Fence, o.Holder = e.orders, fence, e.steward.Holder
		sending, cancel := context.WithTimeout(ctx, orderTimeout)
		result, err := e.steward.Client.Order(sending, e.runner, o)
		cancel()
		e.steward.Metrics.ordered(result, err)
		if err != nil {
			e.lost(o, err)
			var unsent *endpoint.UnsentError
			if errors.As(err, &unsent) && !e.registered() {
				return false
			}
			pause.For(ctx, e.steward.Clock, retryPause)
			continue
		}
		switch result {
		case Accepted, Holds:
			return e.accepted(o, result)
		case Conflict:
			e.declined(o, result)
			return e.resync(ctx, o)
		case Fenced:
			e.declined(o, result)
			e.steward.Lease.Refused(fence)
			return false
		default:
			e.declined(o, result)
			e.known = false
			return false
		}
	}
	e.known = false
	return false
}

// registered reports whether the runner is still known.
func (e *execution) registered() bool {
	r, ok := e.steward.Roster().Runner(e.runner.ID)
	return ok && r.Born == e.runner.Born
}

func (e *execution) accepted(o Order, result Result) bool {
	event.OrderAccepted.Log(e.steward.Logger, append(e.attrs(o), slog.String("Result", string(result)))...)
	if result == Accepted || o.Unload {
		e.orders++
	} else {
		e.known = false
	}
	return true
}

// resync reads the runner's state after a conflict; the step goes on only if the order turns out to be carried out.
func (e *execution) resync(ctx context.Context, o Order) bool {
	e.known = false
	if !e.sync(ctx) {
		return false
	}
	adapters, held := e.models[o.Model]
	if o.Adapter != "" {
		held = slices.Contains(adapters, o.Adapter)
	}
	return held != o.Unload
}

func (e *execution) attrs(o Order) []slog.Attr {
	return []slog.Attr{
		slog.String("Runner", e.runner.ID),
		slog.Bool("Unload", o.Unload),
		slog.String("Model", o.Model),
		slog.String("Adapter", o.Adapter),
		slog.Uint64("Expect", o.Expect),
		slog.Uint64("Fence", o.Fence),
	}
}

func (e *execution) declined(o Order, result Result) {
	event.OrderDeclined.Log(e.steward.Logger, append(e.attrs(o), slog.String("Result", string(result)))...)
}

func (e *execution) lost(o Order, err error) {
	event.OrderLost.Log(e.steward.Logger, append(e.attrs(o), event.Error(err))...)
}
