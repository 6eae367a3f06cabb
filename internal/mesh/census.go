package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// shareInterval is the pause between two accounts of requests at the runners: about half the time of a short request.
	shareInterval = 200 * time.Millisecond
	// sharePerLink is by how much more the holder pauses for each link, which keeps its sums at about 2 Mbit/s.
	sharePerLink = 2 * time.Millisecond
	// shareFresh is for how long the account of a VM counts.
	shareFresh = 5 * shareInterval
)

// Census sums up the requests that all linked VMs have at the runners, and tells them the sum while this VM holds the lease;
// it is safe for concurrent use.
type Census struct {
	host  *Host
	local Local
	clock clockwork.Clock

	mu   sync.Mutex
	byVM map[string]told
}

// told is the newest account of a VM.
type told struct {
	account
	at time.Time
}

// NewCensus returns a census over the links of a host.
func NewCensus(host *Host, local Local, clock clockwork.Clock) *Census {
	c := &Census{
		host:  host,
		local: local,
		clock: clock,
		byVM:  make(map[string]told),
	}
	host.census.Store(c)
	return c
}

// Run tells sums until the context ends.
func (c *Census) Run(ctx context.Context) error {
	for {
		if !pause.For(ctx, c.clock, shareInterval+sharePerLink*time.Duration(c.host.Size())) {
			return nil
		}
		if c.local.Holds() {
			c.tell()
		}
	}
}

func (c *Census) take(vm string, a account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byVM[vm] = told{
		account: a,
		at:      c.clock.Now(),
	}
}

// fresh returns the accounts that still count.
func (c *Census) fresh() []account {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]account, 0, len(c.byVM))
	for vm, t := range c.byVM {
		if c.clock.Since(t.at) > shareFresh {
			delete(c.byVM, vm)
			continue
		}
		all = append(all, t.account)
	}
	return all
}

// tell gives the sum to every VM, this one included. A sum without most of the others says nothing and is not told.
func (c *Census) tell() {
	others := c.fresh()
	if len(others) == 0 || 2*(len(others)+1) <= c.host.Size() {
		return
	}
	sum := c.local.Occupancy()
	for _, other := range others {
		sum.Add(other.Occupancy)
	}
	c.local.TakeOccupancy(sum)
	c.host.broadcast(frame{Occupancy: sum})
}

// Uses returns the models and adapters that requests run on now, as far as this VM and those linked to it told. Who uses an
// adapter uses its model too.
func (c *Census) Uses() map[roster.Use]bool {
	all := make(map[roster.Use]bool)
	note(all, c.local.Uses())
	for _, other := range c.fresh() {
		note(all, other.Uses)
	}
	return all
}

func note(all map[roster.Use]bool, uses []roster.Use) {
	for _, use := range uses {
		all[use] = true
		use.Adapter = ""
		all[use] = true
	}
}
