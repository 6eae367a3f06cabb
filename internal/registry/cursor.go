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

// cursor is how far a thread has followed a topic, and spaces its reads while the store does not answer.
type cursor struct {
	w *Watcher
	// known is unset until the topic was read as a whole, next is where it goes on.
	known    bool
	next     logservice.Offset
	pause    time.Duration
	failures int
}

func (w *Watcher) newCursor() *cursor {
	return &cursor{
		w:     w,
		pause: firstPause,
	}
}

// advanced notes a read that succeeded.
func (c *cursor) advanced(next logservice.Offset) {
	if c.failures > 0 {
		event.LogReachable.Log(c.w.logger, slog.Int("Failures", c.failures))
	}
	c.known, c.next = true, next
	c.failures = 0
	c.pause = firstPause
}

// failed handles a read that failed: a topic whose records from here on are gone is read as a whole, at once.
func (c *cursor) failed(ctx context.Context, err error) {
	var expired *logservice.ExpiredError
	if errors.As(err, &expired) {
		c.known = false
		return
	}
	if ctx.Err() != nil {
		return
	}
	if c.failures == 0 {
		event.LogUnreachable.Log(c.w.logger, event.Error(err))
	}
	c.failures++
	pause.For(ctx, c.w.clock, c.pause/2+rand.N(c.pause))
	c.pause = min(2*c.pause, lastPause)
}
