package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/pause"
)

// awaitLink waits until this VM is linked to the lease holder, for at most the given time.
func (w *Watcher) awaitLink(ctx context.Context, atMost time.Duration) {
	for waited := time.Duration(0); waited < atMost && !w.linkedToHolder() && ctx.Err() == nil; waited += linkCheckInterval {
		pause.For(ctx, w.clock, linkCheckInterval)
	}
}

// waitWhileCovered waits while the lease holder reads a topic for this VM, then for a new link for as long as changes allow. It
// keeps readAt, the time of the newest read, up to date, because no other read is due.
func (w *Watcher) waitWhileCovered(ctx context.Context, readAt *time.Time, covered func() bool) {
	for ctx.Err() == nil && covered() {
		w.recordRead(readAt)
		w.applyDeferredRemovals()
		pause.For(ctx, w.clock, linkCheckInterval)
		if !covered() {
			w.awaitLink(ctx, w.linkLossWait-rand.N(w.linkLossWait/2))
			w.recordRead(readAt)
		}
	}
}

// linkedToHolder reports whether this VM is linked to the lease holder.
func (w *Watcher) linkedToHolder() bool {
	_, linked := w.peers.LinkedToHolder()
	return linked
}

// linkedOver reports whether this VM is linked to the lease holder over a given link.
func (w *Watcher) linkedOver(link uint64) bool {
	current, linked := w.peers.LinkedToHolder()
	return linked && current == link
}
