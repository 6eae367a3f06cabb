package inflight

import (
	"context"
	"sync"
)

// Limiter admits calls until it is closed or the limit of concurrent calls is reached.
type Limiter struct {
	limit int

	mu       sync.Mutex
	inFlight int
	closed   bool
	// drained is closed once the limiter is closed and no call is in flight.
	drained chan struct{}
}

// New returns an open limiter that admits at most limit concurrent calls.
func New(limit int) *Limiter {
	return &Limiter{
		limit:   limit,
		drained: make(chan struct{}),
	}
}

// ClosedError reports that a call was refused because the limiter is closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "the process is stopping" }

// LimitError reports that a call was refused because the limit of concurrent calls is reached.
type LimitError struct{}

// Error implements error.
func (e *LimitError) Error() string { return "too many calls are in flight" }

// Acquire admits a call or fails with ClosedError or LimitError; each admitted call must be followed by Release.
func (l *Limiter) Acquire() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return &ClosedError{}
	}
	if l.inFlight >= l.limit {
		return &LimitError{}
	}
	l.inFlight++
	return nil
}

// Release records that an admitted call has ended.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.closed && l.inFlight == 0 {
		close(l.drained)
	}
}

// Count returns the number of calls in flight.
func (l *Limiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Close makes the limiter refuse new calls and waits until none is in flight or ctx ends.
func (l *Limiter) Close(ctx context.Context) error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		if l.inFlight == 0 {
			close(l.drained)
		}
	}
	l.mu.Unlock()
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
