package tenure

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/pause"
)

// Run follows the lease until the context ends.
func (t *Tenure) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if t.holds() {
			t.waitAndRenew(ctx)
		} else {
			t.watch(ctx)
		}
	}
	return nil
}

func (t *Tenure) holds() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence == 0 {
		return false
	}
	if t.bootClock.Elapsed() < t.expiresAt {
		return true
	}
	t.loseLease("the term expired")
	return false
}

// loseLease ends this VM's tenure; the caller holds the lock.
func (t *Tenure) loseLease(reason string) {
	event.LeaseLost.Log(t.logger, slog.Uint64("Fence", t.fence), slog.String("Reason", reason),
		slog.String("Holder", t.newest.Holder))
	t.fence = 0
}

// waitAndRenew waits until the next renewal is due and appends it.
func (t *Tenure) waitAndRenew(ctx context.Context) {
	if !pause.For(ctx, t.clock, t.options.Term/renewalsPerTerm) {
		return
	}
	t.mu.Lock()
	fence := t.fence
	t.mu.Unlock()
	if fence == 0 {
		return
	}
	if sent, err := t.appendRecord(ctx, fence, false); err == nil {
		t.extendTerm(sent)
		return
	}
	t.resolveAppend(ctx)
}

// resolveAppend reads the stream after an append of unknown outcome, until the outcome is known or too little of the term is
// left for another renewal.
func (t *Tenure) resolveAppend(ctx context.Context) {
	for ctx.Err() == nil && t.holds() {
		readCtx, cancel := context.WithTimeout(ctx, resolveReadTimeout)
		err := t.catchUp(readCtx, 0)
		cancel()
		if err == nil {
			return
		}
		if t.resign() {
			t.options.OnResign()
			return
		}
		pause.For(ctx, t.clock, watchInterval)
	}
}

// resign gives up the tenure when the store can't be reached and half of the term has passed. Another VM that reaches the
// store learns of it over its link and need not wait for the rest of the term.
func (t *Tenure) resign() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence == 0 || t.bootClock.Elapsed() < t.expiresAt-t.options.Term/2 {
		return false
	}
	t.resignedFence = t.fence
	t.loseLease("the store can't be reached")
	return true
}

func (t *Tenure) extendTerm(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiresAt = max(t.expiresAt, sent+t.options.Term)
}

// watch checks whether the lease is free, and claims it if so.
func (t *Tenure) watch(ctx context.Context) {
	t.mu.Lock()
	recent := t.bootClock.Elapsed()-t.lastContact < contactTimeout
	stopped := t.stopped
	t.mu.Unlock()
	if recent || stopped {
		pause.For(ctx, t.clock, watchInterval)
		return
	}
	if err := t.catchUp(ctx, t.readWait()); err != nil {
		pause.For(ctx, t.clock, watchInterval+rand.N(watchInterval))
		return
	}
	if !t.claimable() {
		return
	}
	pause.For(ctx, t.clock, t.options.Reluctance+rand.N(claimJitter))
	t.claim(ctx)
}

// readWait returns how long a read may wait for the next record: until the newest one may have expired.
func (t *Tenure) readWait() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasRecord || t.newest.Released {
		return minReadWait
	}
	return min(max(t.newestSeenAt+t.options.Term-t.bootClock.Elapsed(), minReadWait), maxReadWait)
}

// claimable reports whether this VM may claim the lease because the newest record is no longer binding.
func (t *Tenure) claimable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence != 0 || t.stopped || t.bootClock.Elapsed() < t.backoffUntil {
		return false
	}
	return !t.hasRecord || t.newest.Released || t.bootClock.Elapsed()-t.newestSeenAt > t.options.Term || t.resignedByHolder() || t.heldByFormerRun()
}

// heldByFormerRun reports whether the newest record is from an earlier run of this process. That run listened on the address
// that this one listens on now, so it has ended. The caller holds the lock.
func (t *Tenure) heldByFormerRun() bool {
	return t.newest.Address == t.options.Address && t.newest.Holder == t.options.Name
}

// resignedByHolder reports whether the newest record belongs to a tenure that its holder gave up; the caller holds the lock.
func (t *Tenure) resignedByHolder() bool {
	return t.peerResignedFence > 0 && t.newestFence <= t.peerResignedFence
}

func (t *Tenure) claim(ctx context.Context) {
	sent, err := t.appendRecord(ctx, 0, false)
	if err != nil {
		var moved *logservice.MovedError
		if !errors.As(err, &moved) {
			pause.For(ctx, t.clock, watchInterval)
		}
		return
	}
	t.extendTerm(sent)
}
