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

// answer is an endpoint.Answer that arrives over a link.
type answer struct {
	ctx    context.Context
	link   *Link
	id     uint64
	frames chan frame

	once   sync.Once
	err    error
	failed chan struct{}
}

func newAnswer(ctx context.Context, link *Link, id uint64, capacity int) *answer {
	return &answer{
		ctx:    ctx,
		link:   link,
		id:     id,
		frames: make(chan frame, capacity),
		failed: make(chan struct{}),
	}
}

// push queues a frame without blocking the link's reader; the answer fails if the queue is full.
func (a *answer) push(f frame) {
	select {
	case a.frames <- f:
	default:
		a.fail(&SlowCallerError{})
	}
}

func (a *answer) fail(err error) {
	a.once.Do(func() {
		a.err = err
		close(a.failed)
	})
}

// Next implements endpoint.Answer.
func (a *answer) Next() (endpoint.Event, error) {
	f, err := a.next()
	if err != nil {
		return endpoint.Event{}, err
	}
	return endpoint.Event{
		Data:  f.Event.Data,
		Final: f.Event.Final,
	}, nil
}

// Whole implements endpoint.Answer.
func (a *answer) Whole() ([]byte, error) {
	f, err := a.next()
	if err != nil {
		return nil, err
	}
	return f.Event.Data, nil
}

// next returns the next frame; frames queued before a failure are returned first.
func (a *answer) next() (frame, error) {
	select {
	case f := <-a.frames:
		return a.unwrap(f)
	default:
	}
	select {
	case f := <-a.frames:
		return a.unwrap(f)
	case <-a.failed:
		return frame{}, &endpoint.TruncatedError{Cause: a.err}
	case <-a.ctx.Done():
		return frame{}, &endpoint.TruncatedError{Cause: a.ctx.Err()}
	}
}

func (a *answer) unwrap(f frame) (frame, error) {
	if f.End == nil {
		return f, nil
	}
	if f.End.Refused != nil {
		return f, f.End.Refused
	}
	return f, io.EOF
}

// Close implements endpoint.Answer; it ends the exchange.
func (a *answer) Close() error {
	a.link.endExchange(a.id)
	return nil
}
