package roster

import (
	"sync"
	"sync/atomic"
	"time"
)

// outageGracePeriod is how long after a store outage removals are deferred, because a registration that expired during the
// outage may still be renewed.
const outageGracePeriod = 2 * time.Second

// removalMemory is how long a removed registration is remembered: longer than the copy from which the store may come back is old.
const removalMemory = time.Minute

// Change is one record of the registration log: a runner's newest registration, or its removal when Runner is nil.
type Change struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Runner *Runner
}

// Update describes how a change altered the roster; Before is nil for a new runner and After for a removed one.
type Update struct {
	ID     string
	Before *Runner
	After  *Runner
}

// Roster keeps the newest registration of each runner; it is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	runners map[string]*Runner
	// deferredRemovals holds the times at which removals deferred after a store outage take effect, by runner ID.
	deferredRemovals map[string]time.Time
	// removals holds the runners whose removal was read from the store within removalMemory, by ID.
	removals map[string]removal
	// copiedAt is when the store last came back from a copy, zero if it did not.
	copiedAt time.Time
	// restoredAt is when the store last became available again.
	restoredAt       time.Time
	storeUnavailable bool
	view             atomic.Pointer[View]
}

// removal is a registration that was removed.
type removal struct {
	runner *Runner
	at     time.Time
}

// New returns an empty roster.
func New() *Roster {
	r := &Roster{
		runners:          make(map[string]*Runner),
		deferredRemovals: make(map[string]time.Time),
		removals:         make(map[string]removal),
	}
	r.publish()
	return r
}

// View returns a snapshot of the known runners.
func (r *Roster) View() *View { return r.view.Load() }

// Apply applies changes in log order and returns the updates other than mere heartbeats.
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

// Replace applies a complete list of registrations and removes the runners that it lacks.
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

// SetStoreUnavailable records whether the store is unavailable; removals seen during an outage or shortly after it are
// deferred.
func (r *Roster) SetStoreUnavailable(unavailable bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeUnavailable && !unavailable {
		r.restoredAt = now
	}
	r.storeUnavailable = unavailable
}

// StoreRestored records that the store came back from a copy. Registrations that the copy lacks are renewed soon, as after an outage, which
// ends with the next SetStoreUnavailable.
func (r *Roster) StoreRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeUnavailable = true
	r.copiedAt = now
}

// ApplyDeferredRemovals removes the runners whose deferred removal is due.
func (r *Roster) ApplyDeferredRemovals(now time.Time) []Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	var updates []Update
	for id, due := range r.deferredRemovals {
		if now.Before(due) {
			continue
		}
		updates = append(updates, r.removeForGood(id, now))
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
		if due := r.restoredAt.Add(outageGracePeriod); r.storeUnavailable || (!r.restoredAt.IsZero() && now.Before(due)) {
			if _, deferred := r.deferredRemovals[change.ID]; !deferred {
				r.deferredRemovals[change.ID] = later(due, now.Add(outageGracePeriod/2))
			}
			return Update{}, false
		}
		return r.removeForGood(change.ID, now), true
	}
	if before == nil && r.leftBeforeCopy(change.Runner, now) {
		return Update{}, false
	}
	if before != nil && !change.Runner.newerThan(before) {
		return Update{}, false
	}
	delete(r.deferredRemovals, change.ID)
	r.runners[change.ID] = change.Runner
	update := Update{
		ID:     change.ID,
		Before: before,
		After:  change.Runner,
	}
	return update, before == nil || !before.sameState(change.Runner)
}

// leftBeforeCopy reports whether a registration is that of a runner that was removed before the store came back from a copy, which has it
// still.
func (r *Roster) leftBeforeCopy(runner *Runner, now time.Time) bool {
	removed, ok := r.removals[runner.ID]
	return ok && removed.at.Before(r.copiedAt) && now.Sub(removed.at) < removalMemory && !runner.newerThan(removed.runner)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// removeForGood removes a runner whose removal was read from the store, and remembers it.
func (r *Roster) removeForGood(id string, now time.Time) Update {
	for other, removed := range r.removals {
		if now.Sub(removed.at) >= removalMemory {
			delete(r.removals, other)
		}
	}
	r.removals[id] = removal{
		runner: r.runners[id],
		at:     now,
	}
	return r.remove(id)
}

func (r *Roster) remove(id string) Update {
	before := r.runners[id]
	delete(r.runners, id)
	delete(r.deferredRemovals, id)
	return Update{
		ID:     id,
		Before: before,
	}
}

func (r *Roster) publish() { r.view.Store(newView(r.runners)) }

// ReplaceFromPeer applies another VM's complete list of registrations while this VM can't read the store. Newer
// registrations replace older ones, and a runner that the list lacks is removed at once, because the other VM has read its
// removal.
func (r *Roster) ReplaceFromPeer(runners []*Runner, now time.Time) []Update {
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
