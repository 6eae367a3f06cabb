package registry

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// RunRunners follows the registrations until the context ends.
func (w *Watcher) RunRunners(ctx context.Context) error {
	at := w.newCursor()
	for ctx.Err() == nil {
		link, _ := w.peers.Linked()
		read, err := w.readRunners(ctx, at)
		if err != nil {
			at.failed(ctx, err)
			if at.failures >= outageAfter {
				w.outage(true)
			}
			continue
		}
		followed := at.known
		at.advanced(read.Next)
		w.outage(false)
		w.logSkipped(read.Skipped)
		w.take(read, followed)
		w.rest(ctx, link)
	}
	return nil
}

// rest waits until the next read of the registrations: longer while the holder tells what it reads, over the same link as when
// they were read last.
func (w *Watcher) rest(ctx context.Context, link uint64) {
	pause.For(ctx, w.clock, runnersPause)
	for waited := runnersPause; ctx.Err() == nil && waited < linkedPause; waited += linkLook {
		if now, linked := w.peers.Linked(); !linked || now != link {
			return
		}
		w.expire()
		pause.For(ctx, w.clock, linkLook)
	}
}

func (w *Watcher) outage(out bool) {
	w.out.Store(out)
	w.roster.Outage(out, w.clock.Now())
}

func (w *Watcher) readRunners(ctx context.Context, at *cursor) (Runners, error) {
	if !at.known {
		return w.source.Runners(ctx)
	}
	return w.source.RunnersAfter(ctx, at.next, 0)
}

func (w *Watcher) take(read Runners, followed bool) {
	now := w.clock.Now()
	var updates []roster.Update
	if followed {
		updates = w.roster.Apply(read.Changes, now)
	} else {
		updates = w.roster.Replace(registered(read.Changes), now)
	}
	w.noted(updates)
	w.forward(updates)
	w.expire()
	w.runnersRead.Store(true)
	w.settle(now)
}

// expire takes runners off whose removal waited for the grace after an outage.
func (w *Watcher) expire() {
	updates := w.roster.Expire(w.clock.Now())
	w.noted(updates)
	w.forward(updates)
}

// forward hands on what changed, if this VM reads for the others.
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
	w.peers.Forward(changes)
}

// TakeChanges takes in what the holder read of single registrations.
func (w *Watcher) TakeChanges(changes []roster.Change) {
	w.noted(w.roster.Apply(changes, w.clock.Now()))
}

// settle notes when the list of runners, however it was learned, no longer grows for the first time.
func (w *Watcher) settle(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.newest.IsZero() && (!w.first || now.Sub(w.newest) >= settleTime) {
		w.settled.Store(true)
	}
}

// noteNew remembers when a runner was last seen for the first time.
func (w *Watcher) noteNew(updates []roster.Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range updates {
		if u.Before == nil {
			w.newest = w.clock.Now()
		}
	}
}

func registered(changes []roster.Change) []*roster.Runner {
	var out []*roster.Runner
	for _, change := range changes {
		if change.Runner != nil {
			out = append(out, change.Runner)
		}
	}
	return out
}

// noted logs what changed.
func (w *Watcher) noted(updates []roster.Update) {
	w.noteNew(updates)
	for _, u := range updates {
		switch {
		case u.After == nil:
			event.RunnerRemoved.Log(w.logger, slog.String("Runner", u.ID))
		case u.Before == nil || u.Before.Born != u.After.Born:
			event.RunnerRegistered.Log(w.logger, slog.String("Runner", u.ID), slog.String("Service", u.After.Service),
				slog.String("Address", u.After.Address), slog.Int64("Born", u.After.Born), slog.Any("Models", u.After.Models))
		default:
			event.RunnerChanged.Log(w.logger, slog.String("Runner", u.ID), slog.Bool("Draining", u.After.Draining),
				slog.Duration("Remaining", u.After.Remaining), slog.Uint64("Heartbeat", u.After.Heartbeat), slog.Any("Models", u.After.Models))
		}
	}
}

// TakeRunners takes in the registrations that another VM knows, while the store can't be read here.
func (w *Watcher) TakeRunners(runners []roster.Runner) {
	if !w.Out() {
		return
	}
	listed := make([]*roster.Runner, 0, len(runners))
	for i := range runners {
		listed = append(listed, &runners[i])
	}
	w.noted(w.roster.Adopt(listed, w.clock.Now()))
}
