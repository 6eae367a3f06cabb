package origin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/pause"
)

// fresh shares the results of a call among callers: each gets the result of one that began after it asked.
type fresh[T any] struct {
	clock clockwork.Clock
	// fetch makes the call, which must end by itself.
	fetch func() (T, error)
	// interval returns the shortest time between the beginnings of two calls.
	interval func() time.Duration

	mu      sync.Mutex
	running bool
	// next is the call that has not begun yet, nil if nobody asked for one.
	next    *fetched[T]
	lastRun time.Time
}

// fetched is the result of a call; done is closed when it has ended.
type fetched[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// get returns the result of a call that begins after get was called.
func (f *fresh[T]) get(ctx context.Context) (T, error) {
	f.mu.Lock()
	if f.next == nil {
		f.next = &fetched[T]{done: make(chan struct{})}
	}
	result := f.next
	if !f.running {
		f.running = true
		go f.run()
	}
	f.mu.Unlock()
	select {
	case <-result.done:
		return result.value, result.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// run makes calls for as long as callers ask for them.
func (f *fresh[T]) run() {
	for {
		f.mu.Lock()
		if f.next == nil {
			f.running = false
			f.mu.Unlock()
			return
		}
		wait := f.interval() - f.clock.Since(f.lastRun)
		f.mu.Unlock()
		if wait > 0 {
			pause.For(context.Background(), f.clock, wait)
		}
		f.mu.Lock()
		result := f.next
		f.next = nil
		f.lastRun = f.clock.Now()
		f.mu.Unlock()
		result.value, result.err = f.fetch()
		close(result.done)
	}
}
