package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/pause"
)

const (
	// batchDelayPerLink is how long updates are batched per link, so that a holder with many links sends few frames.
	batchDelayPerLink = 500 * time.Microsecond
	// maxBatchDelay bounds the batching delay, because a request that is routed before an update arrives takes a detour.
	maxBatchDelay = 50 * time.Millisecond
)

// Announcer batches updates on what runners hold and broadcasts them to every linked VM.
type Announcer struct {
	hub   *Hub
	clock clockwork.Clock
	wake  chan struct{}

	mu      sync.Mutex
	pending []orders.Holding
}

// NewAnnouncer returns an announcer that broadcasts over the links of a hub.
func NewAnnouncer(hub *Hub, clock clockwork.Clock) *Announcer {
	return &Announcer{
		hub:   hub,
		clock: clock,
		wake:  make(chan struct{}, 1),
	}
}

// Announce queues updates for the next broadcast without blocking.
func (a *Announcer) Announce(updates []orders.Holding) {
	a.mu.Lock()
	a.pending = append(a.pending, updates...)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run broadcasts queued updates until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		delay := min(time.Duration(a.hub.MemberCount())*batchDelayPerLink, maxBatchDelay)
		if !pause.For(ctx, a.clock, delay) {
			return nil
		}
		a.mu.Lock()
		updates := a.pending
		a.pending = nil
		a.mu.Unlock()
		a.hub.broadcastHoldings(updates)
	}
}
