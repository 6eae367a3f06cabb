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
	// withdrawTimeout is how long to wait for an intent whose append has an unknown outcome.
	withdrawTimeout = 10 * time.Second
	// recordTimeout and recordRetryInterval limit and pace the attempts to record the outcome of an order.
	recordTimeout       = 10 * time.Second
	recordRetryInterval = 500 * time.Millisecond
)

// sendOrder sends an order once, if the lease is still valid with its safety margin right before that.
func (m *shardManager) sendOrder(e *directory.Endpoint, intent ledger.Intent) {
	defer m.setInFlight(intent.ID, false)
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if !m.maySend(intent.Fence) || !m.Fleet.State().Ledger().IsOpen(intent.ID) {
		event.OrderWithheld.Log(m.Logger, slog.String("Intent", intent.ID), slog.String("Model", intent.Model))
		m.recordSettlement(ledger.Settlement{
			Intent: intent.ID,
			Reason: ledger.NeverSent,
		})
		return
	}
	event.OrderSent.Log(m.Logger, slog.String("Intent", intent.ID), slog.String("Action", string(intent.Action)),
		slog.String("Model", intent.Model), slog.String("Endpoint", intent.Endpoint), slog.String("Why", intent.Why))
	response, err := m.Engine.Order(ctx, e.VM.Address, intent.Order())
	m.Poll(context.Background(), e)
	if err != nil {
		m.recordUnanswered(intent, err)
		return
	}
	m.recordSettlement(settlementOf(intent, response))
}

// settlementOf returns the settlement for an engine's answer to an order.
func settlementOf(intent ledger.Intent, response endpoint.OrderResponse) ledger.Settlement {
	reason := ledger.Answered
	if response.Result != endpoint.Done {
		reason = ledger.Refused
	}
	return ledger.Settlement{
		Intent:      intent.ID,
		Reason:      reason,
		Incarnation: response.Incarnation,
		Sequence:    response.Sequence,
	}
}

// recordUnanswered records the outcome of an order without an answer: it was never sent, or it may still arrive.
func (m *shardManager) recordUnanswered(intent ledger.Intent, err error) {
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) {
		m.recordSettlement(ledger.Settlement{
			Intent: intent.ID,
			Reason: ledger.NeverSent,
		})
		return
	}
	event.OrderUnanswered.Log(m.Logger, slog.String("Intent", intent.ID), slog.String("Endpoint", intent.Endpoint),
		event.Error(err))
	m.recordWithRetry(nil, []ledger.Abandonment{
		{
			Intent: intent.ID,
		},
	})
}

func (m *shardManager) recordSettlement(s ledger.Settlement) {
	event.OrderSettled.Log(m.Logger, slog.String("Intent", s.Intent), slog.String("Reason", string(s.Reason)))
	m.recordWithRetry([]ledger.Settlement{s}, nil)
}

// withdraw settles an intent as never sent if its record appears within withdrawTimeout.
func (m *shardManager) withdraw(id string) {
	defer m.setInFlight(id, false)
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	state, err := m.Fleet.Wait(ctx, func(fleet.State) bool {
		_, seen := m.Fleet.RecentOffset(id)
		return seen
	})
	if err == nil && state.Ledger().IsOpen(id) {
		m.recordSettlement(ledger.Settlement{
			Intent: id,
			Reason: ledger.NeverSent,
		})
	}
}

// recordWithRetry retries for a limited time to record outcomes that only this process knows. Duplicate records are
// skipped by readers.
func (m *shardManager) recordWithRetry(settlements []ledger.Settlement, abandonments []ledger.Abandonment) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	for !m.recordOutcomes(ctx, settlements, abandonments) {
		if !pause.For(ctx, m.Clock, recordRetryInterval) {
			return
		}
	}
}

func (m *shardManager) recordOutcomes(ctx context.Context, settlements []ledger.Settlement,
	abandonments []ledger.Abandonment) bool {
	_, ok := m.submit(ctx, fleet.SettleKind, fleet.Settle{
		Settlements:  settlements,
		Abandonments: abandonments,
	})
	return ok
}
