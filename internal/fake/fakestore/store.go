package fakestore

import (
	"context"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// OutageError reports that the store is down.
type OutageError struct{}

// Error implements error.
func (e *OutageError) Error() string { return "weight store is down" }

// Store limits the rate of loads and the number of concurrent loads.
type Store struct {
	limiter *rate.Limiter
	slots   chan struct{}
	down    atomic.Bool
}

// New returns a store that allows loadsPerSecond loads per second and loadsAtOnce concurrent ones.
func New(loadsPerSecond float64, loadsAtOnce int) *Store {
	return &Store{
		limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), loadsAtOnce),
		slots:   make(chan struct{}, loadsAtOnce),
	}
}

// SetDown makes every fetch fail, or ends the outage.
func (s *Store) SetDown(down bool) { s.down.Store(down) }

// Fetch waits until the limits allow another load; it fails with OutageError while the store is down.
func (s *Store) Fetch(ctx context.Context) error {
	if s.down.Load() {
		return &OutageError{}
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.slots }()
	return s.limiter.Wait(ctx)
}
