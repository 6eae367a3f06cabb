package gate

import (
	"context"
	"sync"
)

// Gate admits calls until it is closed or full.
type Gate struct {
	limit int

	mu     sync.Mutex
	inside int
	closed bool
	empty  chan struct{}
}

// New returns an open gate for at most limit calls at once.
func New(limit int) *Gate {
	return &Gate{
		limit: limit,
		empty: make(chan struct{}),
	}
}

// ClosedError reports a call that came after the gate was closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "the process is stopping" }

// FullError reports a call that came while the most calls were in flight.
type FullError struct{}

// Error implements error.
func (e *FullError) Error() string { return "too many calls are in flight" }

// Enter counts a call in; it fails with ClosedError or FullError, and otherwise Leave must follow.
func (g *Gate) Enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return &ClosedError{}
	}
	if g.inside >= g.limit {
		return &FullError{}
	}
	g.inside++
	return nil
}

// Leave counts a call out.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	if g.closed && g.inside == 0 {
		close(g.empty)
	}
}

// Inside returns how many calls are in flight.
func (g *Gate) Inside() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inside
}

// Close refuses new calls and waits until the last one has left or ctx ends.
func (g *Gate) Close(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		if g.inside == 0 {
			close(g.empty)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
