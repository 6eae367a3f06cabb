package orderlease

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
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.holds() {
			l.waitAndRenew(ctx)
		} else {
			l.watch(ctx)
		}
	}
	return nil
}

func (l *Lease) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 {
		return false
	}
	if l.bootClock.Elapsed() < l.expiresAt {
		return true
	}
	l.loseLease("the term expired")
	return false
}

// loseLease ends this VM's tenure; the caller holds the lock.
func (l *Lease) loseLease(reason string) {
	event.LeaseLost.Log(l.logger, slog.Uint64("Fence", l.fence), slog.String("Reason", reason),
		slog.String("Holder", l.newest.Holder))
	l.fence = 0
}

// waitAndRenew waits until the next renewal is due and appends it.
func (l *Lease) waitAndRenew(ctx context.Context) {
	if !pause.For(ctx, l.clock, l.options.Term/renewalsPerTerm) {
		return
	}
	l.mu.Lock()
	fence := l.fence
	l.mu.Unlock()
	if fence == 0 {
		return
	}
	if sent, err := l.appendRecord(ctx, fence, false); err == nil {
		l.extendTerm(sent)
		return
	}
	l.resolveAppend(ctx)
}

// resolveAppend reads the stream after an append of unknown outcome, until the outcome is known or too little of the term is
// left for another renewal.
func (l *Lease) resolveAppend(ctx context.Context) {
	for ctx.Err() == nil && l.holds() {
		readCtx, cancel := context.WithTimeout(ctx, resolveReadTimeout)
		err := l.catchUp(readCtx, 0)
		cancel()
		if err == nil {
			return
		}
		if l.resign() {
			l.options.OnResign()
			return
		}
		pause.For(ctx, l.clock, watchInterval)
	}
}

// resign gives up the tenure when the store can't be reached and half of the term has passed. Another VM that reaches the
// store learns of it over its link and need not wait for the rest of the term.
func (l *Lease) resign() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 || l.bootClock.Elapsed() < l.expiresAt-l.options.Term/2 {
		return false
	}
	l.resignedFence = l.fence
	l.loseLease("the store can't be reached")
	return true
}

func (l *Lease) extendTerm(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiresAt = max(l.expiresAt, sent+l.options.Term)
}

// watch checks whether the lease is free, and claims it if so.
func (l *Lease) watch(ctx context.Context) {
	l.mu.Lock()
	recent := l.bootClock.Elapsed()-l.lastContact < contactTimeout
	stopped := l.stopped
	l.mu.Unlock()
	if recent || stopped {
		pause.For(ctx, l.clock, watchInterval)
		return
	}
	if err := l.catchUp(ctx, l.readWait()); err != nil {
		pause.For(ctx, l.clock, watchInterval+rand.N(watchInterval))
		return
	}
	if !l.claimable() {
		return
	}
	pause.For(ctx, l.clock, l.options.ClaimDelay+rand.N(claimJitter))
	l.claim(ctx)
}

// readWait returns how long a read may wait for the next record: until the newest one may have expired.
func (l *Lease) readWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasRecord || l.newest.Released {
		return minReadWait
	}
	return min(max(l.newestSeenAt+l.options.Term-l.bootClock.Elapsed(), minReadWait), maxReadWait)
}

// claimable reports whether this VM may claim the lease because the newest record is no longer binding.
func (l *Lease) claimable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence != 0 || l.stopped || l.bootClock.Elapsed() < l.backoffUntil {
		return false
	}
	return !l.hasRecord || l.newest.Released || l.bootClock.Elapsed()-l.newestSeenAt > l.options.Term || l.resignedByHolder() || l.heldByFormerRun()
}

// heldByFormerRun reports whether the newest record is from an earlier run of this process. That run listened on the address
// that this one listens on now, so it has ended. The caller holds the lock.
func (l *Lease) heldByFormerRun() bool {
	return l.newest.Address == l.options.Address && l.newest.Holder == l.options.Name
}

// resignedByHolder reports whether the newest record belongs to a tenure that its holder gave up; the caller holds the lock.
func (l *Lease) resignedByHolder() bool {
	return l.peerResignedFence > 0 && l.newestFence <= l.peerResignedFence
}

func (l *Lease) claim(ctx context.Context) {
	sent, err := l.appendRecord(ctx, 0, false)
	if err != nil {
		var mismatch *logservice.EndMismatchError
		if !errors.As(err, &mismatch) {
			pause.For(ctx, l.clock, watchInterval)
		}
		return
	}
	l.extendTerm(sent)
}
