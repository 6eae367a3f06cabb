package holder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/fleet"
	"github.com/cowsliparch/cowsliparch/internal/lease"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

const (
	// renewalsPerTerm is how often a lease is renewed during its term.
	renewalsPerTerm = 3
	// claimDelayPerRank staggers the claims of a failure domain's VMs for a free shard.
	claimDelayPerRank = 500 * time.Millisecond
	submitTimeout     = 3 * time.Second
)

// shardLease is this VM's lease of one shard, timed by the VM's own monotonic clock.
type shardLease struct {
	*Holder
	shard string
	// mu guards fence and sendUntil, which goroutines that send orders read. fence is 0 while the lease isn't held.
	mu        sync.Mutex
	fence     logservice.Offset
	sendUntil time.Time
	renewedAt time.Time

	// observed is the lease as last read from the log, and observedAt when it was first seen in that form, or when this VM
	// last claimed the shard.
	observed   lease.Lease
	observedAt time.Time
}

// maySend reports whether orders under a lease may still be sent. sendUntil is at least the margin before the lease
// expires by the log service's clock.
func (l *shardLease) maySend(fence logservice.Offset) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fence != 0 && l.fence == fence && l.Clock.Now().Before(l.sendUntil)
}

func (l *shardLease) set(fence logservice.Offset, sendUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = fence
	l.sendUntil = sendUntil
}

// maintain claims or renews the lease as needed.
func (l *shardLease) maintain(ctx context.Context) {
	now := l.Clock.Now()
	current, ok := l.Fleet.State().Leases().Lease(l.shard)
	if current != l.observed {
		l.observed = current
		l.observedAt = now
	}
	if l.fence != 0 && (current.Fence != l.fence || !now.Before(l.sendUntil)) {
		event.LeaseLost.Log(l.Logger, slog.String("Shard", l.shard), slog.Uint64("Fence", uint64(l.fence)))
		l.set(0, now)
	}
	switch {
	case l.fence != 0 && now.Sub(l.renewedAt) >= l.LeaseTerm/renewalsPerTerm:
		l.renew(ctx, now)
	case l.fence == 0 && l.claimable(current, ok, now):
		l.claim(ctx, now)
	}
}

// claimable reports whether to claim the shard: the log shows its lease as expired, or this VM has seen no renewal for
// the lease's term. VMs of a higher rank wait longer. A claim that comes too early is ignored.
func (l *shardLease) claimable(current lease.Lease, ok bool, now time.Time) bool {
	wait := time.Duration(l.rank()) * claimDelayPerRank
	if ok && l.Fleet.State().Now().Before(current.Expires) {
		wait += current.Term
	}
	return now.Sub(l.observedAt) >= wait
}

// rank returns the position of this VM among those of the failure domain, in an order that differs by shard.
func (l *shardLease) rank() int {
	own := rankWeight(l.VM, l.shard)
	rank := 0
	for _, vm := range l.View().LiveEntries(l.FailureDomain) {
		if rankWeight(vm.Name, l.shard) < own {
			rank++
		}
	}
	return rank
}

func rankWeight(vm, shard string) uint64 { return xxhash.Sum64String(vm + "\n" + shard) }

func (l *shardLease) claim(ctx context.Context, now time.Time) {
	l.observedAt = now
	state, ok := l.submit(ctx, fleet.ClaimKind, lease.Claim{
		Shard:  l.shard,
		Holder: l.Incarnation,
		VM:     l.VM,
		Term:   l.LeaseTerm,
	})
	current, found := state.Leases().Lease(l.shard)
	if !ok || !found || current.Holder != l.Incarnation {
		return
	}
	l.extend(current.Fence, now)
	event.LeaseAcquired.Log(l.Logger, slog.String("Shard", l.shard), slog.Uint64("Fence", uint64(l.fence)))
}

func (l *shardLease) renew(ctx context.Context, now time.Time) {
	before, _ := l.Fleet.State().Leases().Lease(l.shard)
	state, ok := l.submit(ctx, fleet.RenewalKind, lease.Renewal{
		Holder: l.Incarnation,
		Shards: []string{l.shard},
	})
	current, _ := state.Leases().Lease(l.shard)
	if ok && current.Fence == l.fence && current.Expires.After(before.Expires) {
		l.extend(l.fence, now)
	}
}

// extend counts the term from before the record was sent, so that the lease ends here before it does by the log service's
// clock.
func (l *shardLease) extend(fence logservice.Offset, sentAt time.Time) {
	l.renewedAt = sentAt
	l.set(fence, sentAt.Add(l.LeaseTerm-l.LeaseMargin))
}

func (l *shardLease) release() {
	if l.fence == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	if _, ok := l.submit(ctx, fleet.ReleaseKind, lease.Release{Holder: l.Incarnation, Shards: []string{l.shard}}); ok {
		event.LeaseReleased.Log(l.Logger, slog.String("Shard", l.shard))
	}
	l.set(0, l.Clock.Now())
}

// submit appends a record to the failure domain's stream and reports whether its effect on the state is known.
func (h *Holder) submit(ctx context.Context, kind record.Kind, body any) (fleet.State, bool) {
	envelope, err := record.New(kind, body)
	if err != nil {
		return h.Fleet.State(), false
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	state, _, err := h.Fleet.Submit(ctx, envelope)
	return state, err == nil
}
