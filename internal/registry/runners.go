package registry

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// WatchRunners watches the runner registrations until the context ends.
func (w *Watcher) WatchRunners(ctx context.Context) error {
	c := w.newCursor()
	for ctx.Err() == nil {
		link, _ := w.peers.LinkedToHolder()
		read, err := w.readRunners(ctx, c)
		if err != nil {
			c.failed(ctx, err)
			if c.failures >= outageThreshold {
				w.setStoreUnavailable(true)
			}
			continue
		}
		incremental := c.synced
		if c.restored(read.Next) {
			w.roster.StoreRestored(w.clock.Now())
		}
		c.succeeded(read.Next)
		w.recordRead(&w.runnersReadAt)
		w.setStoreUnavailable(false)
		w.logSkipped(read.Skipped)
		w.applyRunners(read, incremental)
		readAt := w.clock.Now()
		if incremental {
			pause.For(ctx, w.clock, pollInterval)
		} else {
			w.awaitLink(ctx, startLinkWait)
		}
		// What the holder forwarded before the present link was opened may be missing here, so a new link needs a read.
		w.waitWhileCovered(ctx, &w.runnersReadAt, func() bool { return w.linkedOver(link) })
		if w.clock.Since(readAt) > fullReadAfter {
			c.synced = false
		}
	}
	return nil
}

func (w *Watcher) setStoreUnavailable(unavailable bool) {
	w.storeUnavailable.Store(unavailable)
	w.roster.SetStoreUnavailable(unavailable, w.clock.Now())
}

func (w *Watcher) readRunners(ctx context.Context, c *cursor) (Runners, error) {
	if !c.synced {
		return w.source.Runners(ctx)
	}
	return w.source.RunnersAfter(ctx, c.next, 0)
}

// applyRunners applies a read: all registrations, or only the changes since the last read if it is incremental.
func (w *Watcher) applyRunners(read Runners, incremental bool) {
	now := w.clock.Now()
	var updates []roster.Update
	if incremental {
		updates = w.roster.Apply(read.Changes, now)
	} else {
		updates = w.roster.Replace(append(runnersOf(read.Changes), w.knownRunners(read.Skipped)...), now)
	}
	w.recordUpdates(updates)
	w.forward(updates)
	w.applyDeferredRemovals()
	w.runnersRead.Store(true)
	w.updateRunnersComplete(now)
}

// knownRunners returns the runners whose newest records can't be read: their last readable registrations stay in effect.
func (w *Watcher) knownRunners(skipped []SkippedRecord) []*roster.Runner {
	var known []*roster.Runner
	view := w.roster.View()
	for _, record := range skipped {
		if runner, ok := view.Runner(record.Key); ok {
			known = append(known, runner)
		}
	}
	return known
}

// applyDeferredRemovals removes the runners whose removal was deferred after a store outage and is due.
func (w *Watcher) applyDeferredRemovals() {
	updates := w.roster.ApplyDeferredRemovals(w.clock.Now())
	w.recordUpdates(updates)
	w.forward(updates)
}

// forward sends updates to the other VMs; Peers does so only if this VM holds the lease.
func (w *Watcher) forward(updates []roster.Update) {
	if len(updates) == 0 {
		return
	}
	changes := make([]roster.Change, 0, len(updates))
	for _, u := range updates {
		change := roster.Change{ID: u.ID}
		if u.After != nil {
			change.Runner = u.After.WithoutCopies()
		}
		changes = append(changes, change)
	}
	w.peers.ForwardChanges(changes)
}

// ApplyChanges applies single registrations that the lease holder read.
func (w *Watcher) ApplyChanges(changes []roster.Change) {
	w.recordUpdates(w.roster.Apply(changes, w.clock.Now()))
}

// updateRunnersComplete marks the list of runners as complete once no new runner has appeared for settlePeriod, from
// whatever source.
func (w *Watcher) updateRunnersComplete(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lastNewRunner.IsZero() && (!w.firstStart || now.Sub(w.lastNewRunner) >= settlePeriod) {
		w.runnersComplete.Store(true)
	}
}

// recordNewRunners records when the newest runner appeared.
func (w *Watcher) recordNewRunners(updates []roster.Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range updates {
		if u.Before == nil {
			w.lastNewRunner = w.clock.Now()
		}
	}
}

func runnersOf(changes []roster.Change) []*roster.Runner {
	var out []*roster.Runner
	for _, change := range changes {
		if change.Runner != nil {
			out = append(out, change.Runner)
		}
	}
	return out
}

// recordUpdates logs updates and records new runners.
func (w *Watcher) recordUpdates(updates []roster.Update) {
	w.recordNewRunners(updates)
	for _, u := range updates {
		switch {
		case u.After == nil:
			event.RunnerRemoved.Log(w.logger, slog.String("Runner", u.ID))
		case u.Before == nil || u.Before.Incarnation != u.After.Incarnation:
			event.RunnerRegistered.Log(w.logger, slog.String("Runner", u.ID), slog.String("Service", u.After.Service),
				slog.String("Address", u.After.Address), slog.Int64("Born", u.After.Incarnation), slog.Any("Models", u.After.Models))
		default:
			event.RunnerChanged.Log(w.logger, slog.String("Runner", u.ID), slog.Bool("Draining", u.After.Draining),
				slog.Duration("Remaining", u.After.Remaining), slog.Uint64("Heartbeat", u.After.Heartbeat), slog.Any("Models", u.After.Models))
		}
	}
}

// ApplyPeerRunners applies another VM's list of registrations if this VM can't read the store.
func (w *Watcher) ApplyPeerRunners(runners []roster.Runner) {
	if !w.StoreUnavailable() {
		return
	}
	listed := make([]*roster.Runner, 0, len(runners))
	for i := range runners {
		listed = append(listed, &runners[i])
	}
	w.recordUpdates(w.roster.ReplaceFromPeer(listed, w.clock.Now()))
}
