package peer

import (
	"context"

	"github.com/cowsliparch/cowsliparch/internal/booking"
	"github.com/cowsliparch/cowsliparch/internal/claim"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// batcherRequest is a request to the batcher of a claim partition; exactly one of its fields is set.
type batcherRequest struct {
	Claim  *claim.Claim   `cbor:",omitempty"`
	Record *claim.Outcome `cbor:",omitempty"`
	Wait   string         `cbor:",omitempty"`
}

// batcherReply answers a batcherRequest; Error is empty if the request succeeded.
type batcherReply struct {
	Error string `cbor:"Failed"`
	Found bool
	Entry claim.Entry
}

// BatcherError reports a request that a batcher failed to carry out.
type BatcherError struct {
	Reason string
}

// Error implements error.
func (e *BatcherError) Error() string { return "batcher: " + e.Reason }

// Batcher is a peer as the batcher of a claim partition.
type Batcher struct {
	link *Link
}

// Claim implements booking.Batcher.
func (b Batcher) Claim(ctx context.Context, c claim.Claim) (claim.Entry, error) {
	reply, err := b.request(ctx, batcherRequest{Claim: &c})
	return reply.Entry, err
}

// Record implements booking.Batcher.
func (b Batcher) Record(ctx context.Context, outcome claim.Outcome) error {
	_, err := b.request(ctx, batcherRequest{Record: &outcome})
	return err
}

// Wait implements booking.Batcher.
func (b Batcher) Wait(ctx context.Context, key string) (claim.Entry, bool) {
	reply, err := b.request(ctx, batcherRequest{Wait: key})
	return reply.Entry, err == nil && reply.Found
}

func (b Batcher) request(ctx context.Context, request batcherRequest) (batcherReply, error) {
	exchange, err := b.link.startExchange(ctx, frame{BatcherRequest: &request}, 1)
	if err != nil {
		return batcherReply{}, err
	}
	defer exchange.Close()
	select {
	case f := <-exchange.frames:
		if f.BatcherReply == nil {
			return batcherReply{}, &BatcherError{Reason: "reply is missing"}
		}
		if f.BatcherReply.Error != "" {
			return batcherReply{}, &BatcherError{Reason: f.BatcherReply.Error}
		}
		return *f.BatcherReply, nil
	case <-exchange.failed:
		return batcherReply{}, &endpoint.NoResponseError{Address: b.link.vm.Address, Cause: exchange.err}
	case <-ctx.Done():
		return batcherReply{}, &endpoint.NoResponseError{Address: b.link.vm.Address, Cause: ctx.Err()}
	}
}

// serveBatcherRequest carries out a peer's request on this VM's own batcher.
func serveBatcherRequest(ctx context.Context, batcher booking.Batcher, request batcherRequest) batcherReply {
	var reply batcherReply
	var err error
	switch {
	case request.Claim != nil:
		reply.Entry, err = batcher.Claim(ctx, *request.Claim)
	case request.Record != nil:
		err = batcher.Record(ctx, *request.Record)
	default:
		reply.Entry, reply.Found = batcher.Wait(ctx, request.Wait)
	}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply
}
