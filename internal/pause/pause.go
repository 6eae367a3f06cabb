package pause

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits for a time and reports whether it passed before the context ended.
func For(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(d):
		return true
	}
}
