package registry

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

// cursor is a watch loop's position in a topic of the store; it also backs off after failed reads.
type cursor struct {
	watcher *Watcher
	// synced is false until the whole topic has been read; next is the position of the next read.
	synced   bool
	next     logservice.Position
	backoff  time.Duration
	failures int
}

func (w *Watcher) newCursor() *cursor {
	return &cursor{
		watcher: w,
		backoff: minBackoff,
	}
}

func (w *Watcher) maxBackoff() time.Duration {
	if w.Ready() {
		return maxBackoff
	}
	return maxStartBackoff
}

// restored reports whether the store was restored from a copy between the last read and one that ended at the next position.
func (c *cursor) restored(next logservice.Position) bool {
	return c.next.Era != 0 && next.Era > c.next.Era
}

// succeeded records a successful read.
func (c *cursor) succeeded(next logservice.Position) {
	if c.restored(next) {
		event.LogRestored.Log(c.watcher.logger, slog.Uint64("Era", uint64(next.Era)))
	}
	if c.failures > 0 {
		event.LogReachable.Log(c.watcher.logger, slog.Int("Failures", c.failures))
	}
	c.synced, c.next = true, next
	c.failures = 0
	c.backoff = minBackoff
}

// failed handles a failed read. If the records at the cursor's position have expired, or the store was restored from a copy, the
// whole topic is read again at once; otherwise it waits for the backoff.
func (c *cursor) failed(ctx context.Context, err error) {
	var expired *logservice.ExpiredError
	var changed *logservice.EraChangedError
	if errors.As(err, &expired) || errors.As(err, &changed) {
		c.synced = false
		return
	}
	if ctx.Err() != nil {
		return
	}
	if c.failures == 0 {
		event.LogUnreachable.Log(c.watcher.logger, event.Error(err))
	}
	c.failures++
	pause.For(ctx, c.watcher.clock, c.backoff/2+rand.N(c.backoff))
	c.backoff = min(2*c.backoff, c.watcher.maxBackoff())
}
