package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
)

// backoff spaces reads of a store that does not answer.
type backoff struct {
	w        *Watcher
	pause    time.Duration
	failures int
}

func (w *Watcher) newBackoff() *backoff {
	return &backoff{
		w:     w,
		pause: firstPause,
	}
}

func (b *backoff) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if b.failures == 0 {
		event.LogUnreachable.Log(b.w.logger, event.Error(err))
	}
	b.failures++
	b.w.sleep(ctx, b.pause/2+rand.N(b.pause))
	b.pause = min(2*b.pause, lastPause)
}

func (b *backoff) succeeded() {
	if b.failures > 0 {
		event.LogReachable.Log(b.w.logger, slog.Int("Failures", b.failures))
	}
	b.failures = 0
	b.pause = firstPause
}
