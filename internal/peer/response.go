package peer

import (
	"context"
	"io"
	"sync"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// maxQueuedEvents is how many events of one answer are queued for a slow caller before the answer fails, so that one slow
// caller cannot block the other exchanges on the link.
const maxQueuedEvents = 512

// SlowCallerError reports an answer that failed because its caller read it too slowly.
type SlowCallerError struct{}

// Error implements error.
func (e *SlowCallerError) Error() string { return "the caller reads the answer too slowly" }

// response is an endpoint.Response that arrives over a link.
type response struct {
	ctx    context.Context
	link   *Link
	id     uint64
	frames chan frame

	once   sync.Once
	err    error
	failed chan struct{}
}

func newResponse(ctx context.Context, link *Link, id uint64, capacity int) *response {
	return &response{
		ctx:    ctx,
		link:   link,
		id:     id,
		frames: make(chan frame, capacity),
		failed: make(chan struct{}),
	}
}

// push queues a frame without blocking the link's reader; the answer fails if the queue is full.
func (r *response) push(f frame) {
	select {
	case r.frames <- f:
	default:
		r.fail(&SlowCallerError{})
	}
}

func (r *response) fail(err error) {
	r.once.Do(func() {
		r.err = err
		close(r.failed)
	})
}

// Next implements endpoint.Response.
func (r *response) Next() (endpoint.Event, error) {
	f, err := r.next()
	if err != nil {
		return endpoint.Event{}, err
	}
	return endpoint.Event{
		Data:  f.Event.Data,
		Final: f.Event.Final,
	}, nil
}

// ReadAll implements endpoint.Response.
func (r *response) ReadAll() ([]byte, error) {
	f, err := r.next()
	if err != nil {
		return nil, err
	}
	return f.Event.Data, nil
}

// next returns the next frame; frames queued before a failure are returned first.
func (r *response) next() (frame, error) {
	select {
	case f := <-r.frames:
		return r.unwrap(f)
	default:
	}
	select {
	case f := <-r.frames:
		return r.unwrap(f)
	case <-r.failed:
		return frame{}, &endpoint.TruncatedError{Cause: r.err}
	case <-r.ctx.Done():
		return frame{}, &endpoint.TruncatedError{Cause: r.ctx.Err()}
	}
}

func (r *response) unwrap(f frame) (frame, error) {
	if f.End == nil {
		return f, nil
	}
	if f.End.Refused != nil {
		return f, f.End.Refused
	}
	return f, io.EOF
}

// Close implements endpoint.Response; it ends the exchange.
func (r *response) Close() error {
	r.link.endExchange(r.id)
	return nil
}
