package holder

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/fleet"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/pause"
)

const (
	// withdrawWait is how long an intent of unknown fate is looked for.
	withdrawWait = 10 * time.Second
	recordWait   = 10 * time.Second
	recordPause  = 500 * time.Millisecond
)

// send sends an order, once, if the lease still has its margin right before.
func (d *duty) send(e *directory.Endpoint, intent ledger.Intent) {
	defer d.setFlying(intent.ID, false)
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if !d.holds(intent.Fence) || !d.Fleet.State().Ledger().IsOpen(intent.ID) {
		event.OrderWithheld.Log(d.Logger, slog.String("Intent", intent.ID), slog.String("Model", intent.Model))
		d.settleOwn(ledger.Settlement{
			Intent: intent.ID,
			Reason: ledger.NeverSent,
		})
		return
	}
	event.OrderSent.Log(d.Logger, slog.String("Intent", intent.ID), slog.String("Action", string(intent.Action)),
		slog.String("Model", intent.Model), slog.String("Endpoint", intent.Endpoint), slog.String("Why", intent.Why))
	answer, err := d.Engine.Order(ctx, e.VM.Address, intent.Order())
	d.Poll(context.Background(), e)
	if err != nil {
		d.unanswered(intent, err)
		return
	}
	d.settleOwn(settlementOf(intent, answer))
}

func settlementOf(intent ledger.Intent, answer endpoint.OrderAnswer) ledger.Settlement {
	reason := ledger.Answered
	if answer.Result != endpoint.Done {
		reason = ledger.Refused
	}
	return ledger.Settlement{
		Intent:      intent.ID,
		Reason:      reason,
		Incarnation: answer.Incarnation,
		Sequence:    answer.Sequence,
	}
}

// unanswered records what is known of an order without an answer: that it never left, or that it may still arrive.
func (d *duty) unanswered(intent ledger.Intent, err error) {
	var unsent *endpoint.UnsentError
	if errors.As(err, &unsent) {
		d.settleOwn(ledger.Settlement{
			Intent: intent.ID,
			Reason: ledger.NeverSent,
		})
		return
	}
	event.OrderUnanswered.Log(d.Logger, slog.String("Intent", intent.ID), slog.String("Endpoint", intent.Endpoint), event.Error(err))
	d.persist(nil, []ledger.Abandonment{
		{
			Intent: intent.ID,
		},
	})
}

func (d *duty) settleOwn(s ledger.Settlement) {
	event.OrderSettled.Log(d.Logger, slog.String("Intent", s.Intent), slog.String("Reason", string(s.Reason)))
	d.persist([]ledger.Settlement{s}, nil)
}

// withdraw settles an intent that was never sent, if its record turns up after all.
func (d *duty) withdraw(id string) {
	defer d.setFlying(id, false)
	ctx, cancel := context.WithTimeout(context.Background(), withdrawWait)
	defer cancel()
	state, err := d.Fleet.Wait(ctx, func(fleet.State) bool {
		_, seen := d.Fleet.Seen(id)
		return seen
	})
	if err == nil && state.Ledger().IsOpen(id) {
		d.settleOwn(ledger.Settlement{
			Intent: id,
			Reason: ledger.NeverSent,
		})
	}
}

// persist tries for a while to record what only this process knows. A record that is added twice is skipped.
func (d *duty) persist(settlements []ledger.Settlement, abandonments []ledger.Abandonment) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWait)
	defer cancel()
	for !d.record(ctx, settlements, abandonments) {
		if !pause.For(ctx, d.Clock, recordPause) {
			return
		}
	}
}

func (d *duty) record(ctx context.Context, settlements []ledger.Settlement, abandonments []ledger.Abandonment) bool {
	_, ok := d.submit(ctx, fleet.SettleKind, fleet.Settle{
		Settlements:  settlements,
		Abandonments: abandonments,
	})
	return ok
}
