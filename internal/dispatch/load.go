package dispatch

import (
	"slices"
	"time"
)

const (
	// sampleWeight is the weight of the newest sample in a moving mean.
	sampleWeight = 0.15
	// failureHalfLife is how long it takes for a runner's past failures to count half.
	failureHalfLife = 2 * time.Second
	// firstWork is the time that a request takes a slot before any was seen.
	firstWork = 100 * time.Millisecond
	// failuresToAvoid is how many failures in a row make a runner avoided.
	failuresToAvoid = 2
	// avoidFor is how long an avoided runner gets nothing before one request tries it again, doubled up to avoidAtMost.
	avoidFor    = 400 * time.Millisecond
	avoidAtMost = 3 * time.Second
	// ownWordFresh is for how long a runner's own word goes before what the VMs tell each other, which is about so old.
	ownWordFresh = 300 * time.Millisecond
)

// load is what this VM knows of one runner's work.
type load struct {
	// own is this VM's requests at the runner.
	own int
	// others is the requests of other VMs there, as of told: what the runner said it has or the VMs told each other.
	others int
	told   time.Time
	// ownTold is how many of its own requests this VM last told the others.
	ownTold int
	// heard is when any byte last came from the runner.
	heard time.Time
	// work is the mean time of a request at the runner.
	work time.Duration
	// failures is a decayed share of failed sends, as of failedAt.
	failures float64
	failedAt time.Time
	inRow    int
	avoid    time.Duration
	until    time.Time
	notes    []note
}

// note is something learned of a runner's models before its registration shows it.
type note struct {
	model   string
	adapter string
	held    bool
	until   time.Time
}

// occupied estimates how many requests the runner has now.
func (l *load) occupied() int { return l.own + l.others }

// tell takes in what the runner says it has.
func (l *load) tell(f Figures, now time.Time) {
	l.others = max(f.Running+f.Waiting-l.own, 0)
	l.told = now
}

// share takes in what all VMs together told they have at the runner, unless the runner itself spoke lately.
func (l *load) share(sum int, now time.Time) {
	if now.Sub(l.told) < ownWordFresh {
		return
	}
	l.others = max(sum-l.ownTold, 0)
	l.told = now
}

func (l *load) ended(took time.Duration) {
	l.own--
	if l.work == 0 {
		l.work = took
		return
	}
	l.work += time.Duration(sampleWeight * float64(took-l.work))
}

func (l *load) failing(now time.Time) float64 {
	if l.failures == 0 {
		return 0
	}
	age := float64(now.Sub(l.failedAt)) / float64(failureHalfLife)
	return l.failures / (1 + age)
}

func (l *load) failed(now time.Time) {
	l.failures = l.failing(now)*(1-sampleWeight) + sampleWeight
	l.failedAt = now
	l.inRow++
	if l.inRow < failuresToAvoid {
		return
	}
	l.avoid = min(max(2*l.avoid, avoidFor), avoidAtMost)
	l.until = now.Add(l.avoid)
}

func (l *load) succeeded(now time.Time) {
	l.failures = l.failing(now) * (1 - sampleWeight)
	l.failedAt = now
	l.inRow = 0
	l.avoid = 0
}

// avoided reports whether the runner gets nothing now.
func (l *load) avoided(now time.Time) bool { return l.avoid > 0 && now.Before(l.until) }

// probing holds further requests back while one tries an avoided runner again.
func (l *load) probing(now time.Time) {
	if l.avoid > 0 {
		l.until = now.Add(l.avoid)
	}
}

// learned returns what notes say of a model or adapter, and whether any does.
func (l *load) learned(model, adapter string, now time.Time) (held, known bool) {
	for i := len(l.notes) - 1; i >= 0; i-- {
		n := &l.notes[i]
		if n.model != model || now.After(n.until) {
			continue
		}
		if n.adapter == adapter {
			return n.held, true
		}
		if n.adapter == "" && !n.held {
			return false, true
		}
	}
	return false, false
}

// noted reports whether any note goes still.
func (l *load) noted(now time.Time) bool {
	return slices.ContainsFunc(l.notes, func(n note) bool { return !now.After(n.until) })
}

func (l *load) learn(n note, now time.Time) {
	kept := l.notes[:0]
	for _, old := range l.notes {
		if now.Before(old.until) && (old.model != n.model || old.adapter != n.adapter) {
			kept = append(kept, old)
		}
	}
	l.notes = append(kept, n)
}
