package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/pause"
)

const (
	// gatherPerLink is for how long facts are gathered for each link, so that a holder with many links sends few frames.
	gatherPerLink = 500 * time.Microsecond
	// gatherAtMost bounds it: a fact that comes later costs a request its way round.
	gatherAtMost = 50 * time.Millisecond
)

// Announcer gathers facts about runners and tells them to every linked VM.
type Announcer struct {
	host  *Host
	clock clockwork.Clock
	wake  chan struct{}

	mu    sync.Mutex
	facts []orders.Holding
}

// NewAnnouncer returns an announcer over the links of a host.
func NewAnnouncer(host *Host, clock clockwork.Clock) *Announcer {
	return &Announcer{
		host:  host,
		clock: clock,
		wake:  make(chan struct{}, 1),
	}
}

// Announce takes facts to tell; it never blocks.
func (a *Announcer) Announce(facts []orders.Holding) {
	a.mu.Lock()
	a.facts = append(a.facts, facts...)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run tells facts until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		gather := min(time.Duration(a.host.Size())*gatherPerLink, gatherAtMost)
		if !pause.For(ctx, a.clock, gather) {
			return nil
		}
		a.mu.Lock()
		facts := a.facts
		a.facts = nil
		a.mu.Unlock()
		a.host.announce(facts)
	}
}
