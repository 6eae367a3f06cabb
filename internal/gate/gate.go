package gate

import (
	"context"
	"sync"
)

// Gate admits calls until it is closed or the limit of concurrent calls is reached.
type Gate struct {
	limit int

	mu       sync.Mutex
	inFlight int
	closed   bool
	// drained is closed once the gate is closed and no call is in flight.
	drained chan struct{}
}

// New returns an open gate that admits at most limit concurrent calls.
func New(limit int) *Gate {
	return &Gate{
		limit:   limit,
		drained: make(chan struct{}),
	}
}

// ClosedError reports that a call was refused because the gate is closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "the process is stopping" }

// FullError reports that a call was refused because the limit of concurrent calls is reached.
type FullError struct{}

// Error implements error.
func (e *FullError) Error() string { return "too many calls are in flight" }

// Enter admits a call or fails with ClosedError or FullError; each admitted call must be followed by Leave.
func (g *Gate) Enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return &ClosedError{}
	}
	if g.inFlight >= g.limit {
		return &FullError{}
	}
	g.inFlight++
	return nil
}

// Leave records that an admitted call has ended.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.closed && g.inFlight == 0 {
		close(g.drained)
	}
}

// Inside returns the number of calls in flight.
func (g *Gate) Inside() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Close makes the gate refuse new calls and waits until none is in flight or ctx ends.
func (g *Gate) Close(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		if g.inFlight == 0 {
			close(g.drained)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
