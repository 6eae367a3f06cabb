package promptguard

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call to the store, which doubles with each failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Loaded reports whether the stored records have been read.
func (g *Guard) Loaded() bool {
	select {
	case <-g.loaded:
		return true
	default:
		return false
	}
}

// load reads the stored records once, and again whenever this VM gets the lease.
func (g *Guard) load(ctx context.Context) error {
	for first := true; ; first = false {
		var entries []quarantine.Entry
		loaded := g.retry(ctx, g.needsStored, func() (err error) {
			entries, err = g.Store.LoadQuarantine(ctx)
			return err
		})
		if loaded {
			g.applyStored(entries)
		}
		if first {
			close(g.loaded)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.reload:
		}
	}
}

// needsStored reports whether this VM has no other source of the records: it is not linked to the lease holder.
func (g *Guard) needsStored() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRole(g.Clock.Now())
	return g.role != linked
}

// applyStored merges the stored records. Those that this VM knows better are saved again if it holds the lease.
func (g *Guard) applyStored(entries []quarantine.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.updateRole(now)
	g.saved = make(map[string]quarantine.Entry, len(entries))
	for _, e := range entries {
		e = e.NotAfter(now)
		if e.Obsolete(now) {
			g.markUnsaved(e.Section)
			continue
		}
		g.saved[e.Section] = e
		g.merge(e, now)
	}
	g.savedKnown = true
	g.refresh(now)
	signal(g.wake)
}

// markUnsaved has a record saved if this VM holds the lease.
func (g *Guard) markUnsaved(section string) {
	if g.role == holder {
		g.unsaved[section] = true
		signal(g.saveWake)
	}
}

// renewSaved has the records saved that the store lacks, or that would expire too early there, and those deleted that are no
// longer needed.
func (g *Guard) renewSaved(now time.Time) {
	if !g.savedKnown {
		return
	}
	entries := g.list.Entries(now)
	for section := range g.saved {
		if _, needed := g.list.Entry(section); !needed {
			delete(g.saved, section)
			g.markUnsaved(section)
		}
	}
	for _, e := range entries {
		stored, known := g.saved[e.Section]
		lacks := !known || stored.Released() != e.Released()
		if lacks || e.ActiveAt(now) && stored.Expiry().Sub(now) < e.Expiry().Sub(now)/2 {
			g.markUnsaved(e.Section)
		}
	}
}

// save saves records until the context ends.
func (g *Guard) save(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.saveWake:
		}
		for section, ok := g.nextUnsaved(); ok; section, ok = g.nextUnsaved() {
			g.retry(ctx, g.Peers.HoldsLease, func() error { return g.saveSection(ctx, section) })
		}
	}
}

// nextUnsaved returns the next section whose record is to be saved. A VM that lost the lease leaves that to the new holder.
func (g *Guard) nextUnsaved() (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.Peers.HoldsLease() {
		clear(g.unsaved)
	}
	for section := range g.unsaved {
		delete(g.unsaved, section)
		return section, true
	}
	return "", false
}

// saveSection saves the record of a section, or deletes it if there is none.
func (g *Guard) saveSection(ctx context.Context, section string) error {
	g.mu.Lock()
	e, known := g.list.Entry(section)
	if known {
		g.saved[section] = e
	}
	g.mu.Unlock()
	if known {
		return g.Store.SaveQuarantine(ctx, e)
	}
	return g.Store.DeleteQuarantine(ctx, section)
}

// retry makes a call to the store until it succeeds, and reports whether it did. It gives up when the context ends or the call
// is no longer needed.
func (g *Guard) retry(ctx context.Context, needed func() bool, call func() error) bool {
	for backoff, failures := minBackoff, 0; ; backoff, failures = min(2*backoff, maxBackoff), failures+1 {
		err := call()
		if err == nil {
			return true
		}
		if failures == 0 && ctx.Err() == nil {
			event.LogUnreachable.Log(g.Logger, event.Error(err))
		}
		if !pause.For(ctx, g.Clock, backoff/2+rand.N(backoff)) || !needed() {
			return false
		}
	}
}
