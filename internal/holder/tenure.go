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
	// renewShare is the part of the term after which a lease is renewed.
	renewShare = 3
	// rankDelay keeps the VMs of a failure domain from claiming a free shard all at once.
	rankDelay     = 500 * time.Millisecond
	submitTimeout = 3 * time.Second
)

// tenure is this VM's hold on one shard, by its own monotonic clock.
type tenure struct {
	*Holder
	shard string
	// mu guards fence, which is 0 while the shard isn't held, and until, which senders of orders read.
	mu      sync.Mutex
	fence   logservice.Offset
	until   time.Time
	renewed time.Time

	// seen is the lease as last read, and since when it has stood like that.
	seen  lease.Lease
	since time.Time
}

// holds reports whether orders under a lease may be sent: the lease as the log counts it outlasts until by the margin.
func (t *tenure) holds(fence logservice.Offset) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fence != 0 && t.fence == fence && t.Clock.Now().Before(t.until)
}

func (t *tenure) set(fence logservice.Offset, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence = fence
	t.until = until
}

// keep claims or renews the lease as needed.
func (t *tenure) keep(ctx context.Context) {
	now := t.Clock.Now()
	held, ok := t.Fleet.State().Leases().Lease(t.shard)
	if held != t.seen {
		t.seen = held
		t.since = now
	}
	if t.fence != 0 && (held.Fence != t.fence || !now.Before(t.until)) {
		event.LeaseLost.Log(t.Logger, slog.String("Shard", t.shard), slog.Uint64("Fence", uint64(t.fence)))
		t.set(0, now)
	}
	switch {
	case t.fence != 0 && now.Sub(t.renewed) >= t.LeaseTerm/renewShare:
		t.renew(ctx, now)
	case t.fence == 0 && t.free(held, ok, now):
		t.claim(ctx, now)
	}
}

// free reports whether a claim may win: the log has shown the lease to be over, or it has stood unrenewed for its
// term by this VM's clock. A claim that comes too early only loses.
func (t *tenure) free(held lease.Lease, ok bool, now time.Time) bool {
	wait := time.Duration(t.rank()) * rankDelay
	if ok && t.Fleet.State().Now().Before(held.Expires) {
		wait += held.Term
	}
	return now.Sub(t.since) >= wait
}

// rank orders the VMs of the failure domain for a shard.
func (t *tenure) rank() int {
	own := rankWeight(t.VM, t.shard)
	rank := 0
	for _, vm := range t.View().LiveEntries(t.FailureDomain) {
		if rankWeight(vm.Name, t.shard) < own {
			rank++
		}
	}
	return rank
}

func rankWeight(vm, shard string) uint64 { return xxhash.Sum64String(vm + "\n" + shard) }

func (t *tenure) claim(ctx context.Context, now time.Time) {
	t.since = now
	state, ok := t.submit(ctx, fleet.ClaimKind, lease.Claim{
		Shard:  t.shard,
		Holder: t.Incarnation,
		VM:     t.VM,
		Term:   t.LeaseTerm,
	})
	held, found := state.Leases().Lease(t.shard)
	if !ok || !found || held.Holder != t.Incarnation {
		return
	}
	t.extend(held.Fence, now)
	event.LeaseAcquired.Log(t.Logger, slog.String("Shard", t.shard), slog.Uint64("Fence", uint64(t.fence)))
}

func (t *tenure) renew(ctx context.Context, now time.Time) {
	before, _ := t.Fleet.State().Leases().Lease(t.shard)
	state, ok := t.submit(ctx, fleet.RenewalKind, lease.Renewal{
		Holder: t.Incarnation,
		Shards: []string{t.shard},
	})
	held, _ := state.Leases().Lease(t.shard)
	if ok && held.Fence == t.fence && held.Expires.After(before.Expires) {
		t.extend(t.fence, now)
	}
}

// extend counts the term from before the record was sent, so that the log's own count ends later.
func (t *tenure) extend(fence logservice.Offset, sent time.Time) {
	t.renewed = sent
	t.set(fence, sent.Add(t.LeaseTerm-t.LeaseMargin))
}

func (t *tenure) release() {
	if t.fence == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	if _, ok := t.submit(ctx, fleet.ReleaseKind, lease.Release{Holder: t.Incarnation, Shards: []string{t.shard}}); ok {
		event.LeaseReleased.Log(t.Logger, slog.String("Shard", t.shard))
	}
	t.set(0, t.Clock.Now())
}

// submit appends a record to the failure domain's stream and reports whether its fold is known.
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
