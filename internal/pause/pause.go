package pause

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits for a duration and returns true, or returns false as soon as the context ends.
func For(ctx context.Context, clock clockwork.Clock, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(duration):
		return true
	}
}
