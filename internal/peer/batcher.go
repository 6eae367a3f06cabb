package peer

import (
	"context"

	"github.com/cowsliparch/cowsliparch/internal/booking"
	"github.com/cowsliparch/cowsliparch/internal/claim"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// desk is a question to a batcher; exactly one of its fields is set.
type desk struct {
	Claim  *claim.Claim   `cbor:",omitempty"`
	Record *claim.Outcome `cbor:",omitempty"`
	Wait   string         `cbor:",omitempty"`
}

// deskAnswer is a batcher's answer; Failed is empty if the question was carried out.
type deskAnswer struct {
	Failed string
	Found  bool
	Entry  claim.Entry
}

// BatcherError reports that a batcher could not do what it was asked.
type BatcherError struct {
	Reason string
}

// Error implements error.
func (e *BatcherError) Error() string { return "batcher: " + e.Reason }

// Batcher is a peer seen as the batcher of claims.
type Batcher struct {
	link *Link
}

// Claim implements booking.Batcher.
func (b Batcher) Claim(ctx context.Context, c claim.Claim) (claim.Entry, error) {
	answer, err := b.ask(ctx, desk{Claim: &c})
	return answer.Entry, err
}

// Record implements booking.Batcher.
func (b Batcher) Record(ctx context.Context, outcome claim.Outcome) error {
	_, err := b.ask(ctx, desk{Record: &outcome})
	return err
}

// Wait implements booking.Batcher.
func (b Batcher) Wait(ctx context.Context, key string) (claim.Entry, bool) {
	answer, err := b.ask(ctx, desk{Wait: key})
	return answer.Entry, err == nil && answer.Found
}

func (b Batcher) ask(ctx context.Context, question desk) (deskAnswer, error) {
	call, err := b.link.open(ctx, frame{Desk: &question}, 1)
	if err != nil {
		return deskAnswer{}, err
	}
	defer call.Close()
	select {
	case f := <-call.events:
		if f.Told == nil {
			return deskAnswer{}, &BatcherError{Reason: "no answer to the question"}
		}
		if f.Told.Failed != "" {
			return deskAnswer{}, &BatcherError{Reason: f.Told.Failed}
		}
		return *f.Told, nil
	case <-call.gone:
		return deskAnswer{}, &endpoint.UnansweredError{Address: b.link.vm.Address, Cause: call.err}
	case <-ctx.Done():
		return deskAnswer{}, &endpoint.UnansweredError{Address: b.link.vm.Address, Cause: ctx.Err()}
	}
}

// answerDesk carries out a peer's question on this VM's own desk.
func answerDesk(ctx context.Context, own booking.Batcher, question desk) deskAnswer {
	var answer deskAnswer
	var err error
	switch {
	case question.Claim != nil:
		answer.Entry, err = own.Claim(ctx, *question.Claim)
	case question.Record != nil:
		err = own.Record(ctx, *question.Record)
	default:
		answer.Entry, answer.Found = own.Wait(ctx, question.Wait)
	}
	if err != nil {
		answer.Failed = err.Error()
	}
	return answer
}
