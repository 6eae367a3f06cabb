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

// Run tracks the lease, claims it when it is free and renews it while this VM holds it, until the context ends.
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

// resolveAppend reads the stream after an append of unknown outcome, until the outcome is known or this VM resigns.
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

// watch checks whether the lease is free, and claims it if so. It waits in a read of the stream until this VM's turn to claim
// comes, so that the VMs whose turn is later learn of the first claim by that read and append nothing.
func (l *Lease) watch(ctx context.Context) {
	if l.needNotRead() {
		pause.For(ctx, l.clock, watchInterval)
		return
	}
	known := l.readPosition()
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.setCancelRead(cancel)
	if err := l.catchUp(readCtx, l.timeToClaim()); err != nil {
		pause.For(ctx, l.clock, watchInterval+rand.N(watchInterval))
		return
	}
	if l.readPosition() == known && l.claimable() {
		l.claim(ctx)
	}
}

// needNotRead reports whether the stream need not be read now: the holder is in contact or is expected to be soon, or this VM
// has released the lease for good.
func (l *Lease) needNotRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.bootClock.Elapsed()
	awaited := l.hasRecord && !l.newest.Released && !l.free() && now-l.holderChangedAt < contactGrace
	return l.stopped || awaited || now-l.lastContact < contactTimeout
}

// setCancelRead sets what ends the present read of the stream when the holder resigns.
func (l *Lease) setCancelRead(cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelRead = cancel
}

func (l *Lease) readPosition() logservice.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// timeToClaim returns how long from now this VM may claim the lease unless a record arrives before.
func (l *Lease) timeToClaim() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.bootClock.Elapsed()
	wait := max(l.backoffUntil-now, 0)
	if now < l.continuedUntil {
		return min(wait, maxReadWait)
	}
	if !l.free() {
		wait = max(wait, l.newestSeenAt+l.options.Term-now, l.eraFreeAt-now)
	}
	if !l.hasRecord {
		wait = max(wait, minReadWait)
	}
	return min(wait+l.options.ClaimDelay+rand.N(claimJitter), maxReadWait)
}

// claimable reports whether the lease is free and this VM may claim it.
func (l *Lease) claimable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence != 0 || l.stopped || l.bootClock.Elapsed() < l.backoffUntil {
		return false
	}
	return l.free()
}

// free reports whether no VM can hold the lease any more; the caller holds the lock.
func (l *Lease) free() bool {
	now := l.bootClock.Elapsed()
	if now < l.eraFreeAt {
		return now < l.continuedUntil
	}
	return !l.hasRecord || l.newest.Released || now-l.newestSeenAt > l.options.Term || l.resignedByHolder() || l.heldByFormerRun()
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
		if !errors.As(err, &mismatch) || mismatch.End <= l.readPosition().Offset {
			pause.For(ctx, l.clock, watchInterval)
		}
		return
	}
	l.extendTerm(sent)
}
