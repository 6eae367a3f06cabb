package peer

import (
	"context"
	"io"
	"sync"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
)

// answerQueue is how many events of one answer wait for a slow caller before the call is given up, so that one
// caller can't hold up the others on the link.
const answerQueue = 512

// SlowCallerError reports an answer that came faster than its caller took it.
type SlowCallerError struct{}

// Error implements error.
func (e *SlowCallerError) Error() string { return "the caller takes the answer too slowly" }

// answer is an endpoint.Answer that arrives over a link.
type answer struct {
	ctx    context.Context
	link   *Link
	call   uint64
	events chan frame

	once sync.Once
	err  error
	gone chan struct{}
}

func newAnswer(ctx context.Context, link *Link, call uint64, room int) *answer {
	return &answer{
		ctx:    ctx,
		link:   link,
		call:   call,
		events: make(chan frame, room),
		gone:   make(chan struct{}),
	}
}

// push takes a frame from the link's reader without ever holding it up.
func (a *answer) push(f frame) {
	select {
	case a.events <- f:
	default:
		a.fail(&SlowCallerError{})
	}
}

func (a *answer) fail(err error) {
	a.once.Do(func() {
		a.err = err
		close(a.gone)
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

func (a *answer) next() (frame, error) {
	select {
	case f := <-a.events:
		return a.unwrap(f)
	default:
	}
	select {
	case f := <-a.events:
		return a.unwrap(f)
	case <-a.gone:
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

// Close implements endpoint.Answer; it cancels an answer that has not ended.
func (a *answer) Close() error {
	a.link.forget(a.call)
	return nil
}
