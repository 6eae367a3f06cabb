package dispatch

import (
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Tracker keeps what this VM learned of the runners from its own sends; it is safe for concurrent use.
type Tracker struct {
	distances Distances

	mu    sync.Mutex
	loads map[string]*load
	// uses counts this VM's requests by what they run on.
	uses map[roster.Use]int
	// noted is the runners of which something was learned that their registrations may not show yet.
	noted map[string]bool
}

// NewTracker returns a tracker that knows nothing yet.
func NewTracker(distances Distances) *Tracker {
	return &Tracker{
		distances: distances,
		loads:     make(map[string]*load),
		uses:      make(map[roster.Use]int),
		noted:     make(map[string]bool),
	}
}

// Learn notes for a time that a runner has, or no longer has, a model or an adapter of it.
func (t *Tracker) Learn(runner, model, adapter string, held bool, now time.Time, lasts time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load(runner).learn(note{
		model:   model,
		adapter: adapter,
		held:    held,
		until:   now.Add(lasts),
	}, now)
	t.noted[runner] = true
}

// Keep drops what was learned and no longer goes, and what is known of runners that are gone and have no request of this VM
// left.
func (t *Tracker) Keep(view *roster.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.loads {
		if !l.noted(now) {
			delete(t.noted, id)
		}
		if _, known := view.Runner(id); !known && l.own == 0 {
			delete(t.loads, id)
			delete(t.noted, id)
		}
	}
}

// load returns what is known of a runner; the caller holds the lock.
func (t *Tracker) load(runner string) *load {
	l, ok := t.loads[runner]
	if !ok {
		l = &load{}
		t.loads[runner] = l
	}
	return l
}

func (t *Tracker) sent(use roster.Use, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uses[use]++
	l := t.load(use.Runner)
	l.own++
	l.probing(now)
}

// heard notes that the runner answered something.
func (t *Tracker) heard(runner *roster.Runner, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load(runner.ID).heard = now
}

// silentFor returns how long nothing came from the runner, counted from a send at the earliest.
func (t *Tracker) silentFor(runner *roster.Runner, sent, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if heard := t.load(runner.ID).heard; heard.After(sent) {
		return now.Sub(heard)
	}
	return now.Sub(sent)
}

func (t *Tracker) told(runner *roster.Runner, f Figures, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load(runner.ID).tell(f, now)
}

// Occupancy returns this VM's requests at the runners, and notes that the other VMs are told of them.
func (t *Tracker) Occupancy() roster.Occupancy {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(roster.Occupancy)
	for id, l := range t.loads {
		l.ownTold = l.own
		if l.own > 0 {
			own[id] = l.own
		}
	}
	return own
}

// Uses returns the models and adapters that this VM's requests run on.
func (t *Tracker) Uses() []roster.Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := make([]roster.Use, 0, len(t.uses))
	for use := range t.uses {
		if use.Model != "" {
			uses = append(uses, use)
		}
	}
	return uses
}

// TakeOccupancy takes in the requests of all VMs at the runners.
func (t *Tracker) TakeOccupancy(sum roster.Occupancy, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range sum {
		t.load(id)
	}
	for id, l := range t.loads {
		l.share(sum[id], now)
	}
}

func (t *Tracker) ended(use roster.Use, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load(use.Runner).ended(took)
	if t.uses[use]--; t.uses[use] == 0 {
		delete(t.uses, use)
	}
}

// judged counts the outcome of a send for or against the runner.
func (t *Tracker) judged(runner *roster.Runner, good bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if good {
		t.load(runner.ID).succeeded(now)
		return
	}
	t.load(runner.ID).failed(now)
}

// faulted counts a runner's own failure, which says less of its reach than silence does.
func (t *Tracker) faulted(runner *roster.Runner, fault bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.load(runner.ID)
	inRow := l.inRow
	if fault {
		l.failed(now)
		l.inRow, l.avoid = inRow, 0
	}
}
