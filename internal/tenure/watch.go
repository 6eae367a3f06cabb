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
			t.renew(ctx)
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
	if t.boot.Elapsed() < t.until {
		return true
	}
	t.lose("the term ran out")
	return false
}

// lose ends this VM's tenure; the caller holds the lock.
func (t *Tenure) lose(reason string) {
	event.LeaseLost.Log(t.logger, slog.Uint64("Fence", t.fence), slog.String("Reason", reason),
		slog.String("Holder", t.last.Holder))
	t.fence = 0
}

// renew waits for the next renewal and appends it.
func (t *Tenure) renew(ctx context.Context) {
	if !pause.For(ctx, t.clock, t.options.Term/renewals) {
		return
	}
	t.mu.Lock()
	fence := t.fence
	t.mu.Unlock()
	if fence == 0 {
		return
	}
	if sent, err := t.append(ctx, fence, false); err == nil {
		t.extend(sent)
		return
	}
	t.settle(ctx)
}

// settle reads the stream after an append of unknown fate, until it is known or too little of the term is left to hope for
// another renewal.
func (t *Tenure) settle(ctx context.Context) {
	for ctx.Err() == nil && t.holds() {
		reading, cancel := context.WithTimeout(ctx, settleTimeout)
		err := t.catchUp(reading, 0)
		cancel()
		if err == nil {
			return
		}
		if t.resign() {
			t.options.OnResign()
			return
		}
		pause.For(ctx, t.clock, watchPause)
	}
}

// resign gives the tenure up when the store can't be reached and half of the term is over: another VM that reaches the
// store learns of it over its link and need not wait for the rest.
func (t *Tenure) resign() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence == 0 || t.boot.Elapsed() < t.until-t.options.Term/2 {
		return false
	}
	t.resigned = t.fence
	t.lose("the store can't be reached")
	return true
}

func (t *Tenure) extend(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = max(t.until, sent+t.options.Term)
}

// watch looks whether the lease is free, and claims it if so.
func (t *Tenure) watch(ctx context.Context) {
	t.mu.Lock()
	fresh := t.boot.Elapsed()-t.linked < linkFresh
	stopped := t.stopped
	t.mu.Unlock()
	if fresh || stopped {
		pause.For(ctx, t.clock, watchPause)
		return
	}
	if err := t.catchUp(ctx, t.patience()); err != nil {
		pause.For(ctx, t.clock, watchPause+rand.N(watchPause))
		return
	}
	if !t.free() {
		return
	}
	pause.For(ctx, t.clock, t.options.Reluctance+rand.N(claimSpread))
	t.claim(ctx)
}

// patience returns how long a read may wait for the next record: until the newest one may no longer bind.
func (t *Tenure) patience() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.last.Released {
		return leastWait
	}
	return min(max(t.seen+t.options.Term-t.boot.Elapsed(), leastWait), mostWait)
}

// free reports whether the newest record no longer binds.
func (t *Tenure) free() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence != 0 || t.stopped || t.boot.Elapsed() < t.rest {
		return false
	}
	return !t.known || t.last.Released || t.boot.Elapsed()-t.seen > t.options.Term || t.givenUp() || t.ownBefore()
}

// ownBefore reports whether the newest record is of a former run of this very process: it listened on the address that
// this one listens on now, so it has ended. The caller holds the lock.
func (t *Tenure) ownBefore() bool {
	return t.last.Address == t.options.Address && t.last.Holder == t.options.Name
}

// givenUp reports whether the newest record is of a tenure that its holder said it gave up; the caller holds the lock.
func (t *Tenure) givenUp() bool { return t.given > 0 && t.lastFence <= t.given }

func (t *Tenure) claim(ctx context.Context) {
	sent, err := t.append(ctx, 0, false)
	if err != nil {
		var moved *logservice.MovedError
		if !errors.As(err, &moved) {
			pause.For(ctx, t.clock, watchPause)
		}
		return
	}
	t.extend(sent)
}
