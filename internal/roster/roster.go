package roster

import (
	"sync"
	"sync/atomic"
	"time"
)

// outageGrace is how long after an outage of the store a removed registration may still come back.
const outageGrace = 2 * time.Second

// Change is one record of the registrations: a runner's newest entry, or its removal when Runner is nil.
type Change struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Runner *Runner
}

// Update tells what a change did to the roster.
type Update struct {
	ID     string
	Before *Runner
	After  *Runner
}

// Roster keeps the newest registration of each runner; it is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	runners map[string]*Runner
	// leaving holds removals that wait for the grace after an outage.
	leaving map[string]time.Time
	// restored is when the store last came back.
	restored time.Time
	out      bool
	view     atomic.Pointer[View]
}

// New returns an empty roster.
func New() *Roster {
	r := &Roster{
		runners: make(map[string]*Runner),
		leaving: make(map[string]time.Time),
	}
	r.publish()
	return r
}

// View returns the runners known now.
func (r *Roster) View() *View { return r.view.Load() }

// Apply takes in changes in the order of the log and returns what changed beside heartbeats.
func (r *Roster) Apply(changes []Change, now time.Time) []Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	var updates []Update
	for _, change := range changes {
		if update, ok := r.apply(change, now); ok {
			updates = append(updates, update)
		}
	}
	r.publish()
	return updates
}

// Replace takes in a whole list of registrations; runners that it lacks are removed.
func (r *Roster) Replace(runners []*Runner, now time.Time) []Update {
	listed := make(map[string]bool, len(runners))
	changes := make([]Change, 0, len(runners))
	for _, runner := range runners {
		listed[runner.ID] = true
		changes = append(changes, Change{
			ID:     runner.ID,
			Runner: runner,
		})
	}
	for id := range r.View().byID {
		if !listed[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	return r.Apply(changes, now)
}

// Outage notes whether the store can be read; removals seen shortly after an outage wait for the grace.
func (r *Roster) Outage(out bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out && !out {
		r.restored = now
	}
	r.out = out
}

// Expire drops runners whose removal was held back for the grace and is due.
func (r *Roster) Expire(now time.Time) []Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	var updates []Update
	for id, due := range r.leaving {
		if now.Before(due) {
			continue
		}
		updates = append(updates, r.remove(id))
	}
	if len(updates) > 0 {
		r.publish()
	}
	return updates
}

func (r *Roster) apply(change Change, now time.Time) (Update, bool) {
	before := r.runners[change.ID]
	if change.Runner == nil {
		if before == nil {
			return Update{}, false
		}
		if due := r.restored.Add(outageGrace); r.out || (!r.restored.IsZero() && now.Before(due)) {
			if _, held := r.leaving[change.ID]; !held {
				r.leaving[change.ID] = later(due, now.Add(outageGrace/2))
			}
			return Update{}, false
		}
		return r.remove(change.ID), true
	}
	if before != nil && !change.Runner.newerThan(before) {
		return Update{}, false
	}
	delete(r.leaving, change.ID)
	r.runners[change.ID] = change.Runner
	update := Update{
		ID:     change.ID,
		Before: before,
		After:  change.Runner,
	}
	return update, before == nil || !before.sameFacts(change.Runner)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *Roster) remove(id string) Update {
	before := r.runners[id]
	delete(r.runners, id)
	delete(r.leaving, id)
	return Update{
		ID:     id,
		Before: before,
	}
}

func (r *Roster) publish() { r.view.Store(newView(r.runners)) }

// Adopt takes in what another VM knows while this one can't read the store: newer registrations count, and a runner that
// the other lacks is removed at once, as the other one has read its removal.
func (r *Roster) Adopt(runners []*Runner, now time.Time) []Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(runners))
	var updates []Update
	for _, runner := range runners {
		listed[runner.ID] = true
		if update, ok := r.apply(Change{ID: runner.ID, Runner: runner}, now); ok {
			updates = append(updates, update)
		}
	}
	for id := range r.View().byID {
		if _, known := r.runners[id]; known && !listed[id] {
			updates = append(updates, r.remove(id))
		}
	}
	r.publish()
	return updates
}
