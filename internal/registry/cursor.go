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
	// synced is false until the whole topic has been read; next is the offset of the next read.
	synced   bool
	next     logservice.Offset
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

// succeeded records a successful read.
func (c *cursor) succeeded(next logservice.Offset) {
	if c.failures > 0 {
		event.LogReachable.Log(c.watcher.logger, slog.Int("Failures", c.failures))
	}
	c.synced, c.next = true, next
	c.failures = 0
	c.backoff = minBackoff
}

// failed handles a failed read. If the records at the cursor's offset have expired, the whole topic is read again at once;
// otherwise it waits for the backoff.
func (c *cursor) failed(ctx context.Context, err error) {
	var expired *logservice.ExpiredError
	if errors.As(err, &expired) {
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
