package pacing

import (
	"maps"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// MaxFigure is the largest figure that counts, a machine that takes a hundred times as long as usual.
	MaxFigure = 10_000
	// sightingTTL is how long a figure is kept that could not be reported.
	sightingTTL = 2 * time.Second
	// changePercent is the least change of a pace that VMs are told.
	changePercent = 5
	// unregisteredTTL is how long the pace of a runner is kept that is not registered: paces may arrive before registrations.
	unregisteredTTL = time.Minute
	// summaryTTL is how long the mean and the median of a service are kept.
	summaryTTL = time.Second
)

// Paces maps runners to figures, in percent of the usual time that work takes.
type Paces map[string]int

// Summary describes the paces of a service's runners; it is zero if none is known.
type Summary struct {
	Mean   float64
	Median int
}

// Board keeps the paces of the runners as one VM knows them.
type Board struct {
	known map[string]knownPace
	// seen holds the lowest figure of each runner that this VM saw since its last report.
	seen map[string]sighting
	// windows and changed are used at the lease holder; changed is the set of runners whose paces
	// are not sent to the other VMs yet.
	windows   map[string]*window
	changed   map[string]bool
	summaries map[string]cachedSummary
	paces     []int
}

type knownPace struct {
	pace int
	// missingSince is when the runner was first found to be unregistered, zero if it is registered.
	missingSince time.Time
}

type sighting struct {
	figure int
	at     time.Time
}

type cachedSummary struct {
	Summary
	at time.Time
}

// NewBoard returns a board that knows no pace.
func NewBoard() *Board {
	return &Board{
		known:     make(map[string]knownPace),
		seen:      make(map[string]sighting),
		windows:   make(map[string]*window),
		changed:   make(map[string]bool),
		summaries: make(map[string]cachedSummary),
	}
}

// See records a figure that a runner reported to this VM.
func (b *Board) See(runner string, figure int, now time.Time) {
	if !isPossible(figure) {
		return
	}
	if before, ok := b.seen[runner]; ok && before.figure < figure && now.Sub(before.at) < sightingTTL {
		return
	}
	b.seen[runner] = sighting{
		figure: figure,
		at:     now,
	}
}

// TakeSeen returns the lowest figures seen since the last call, or nil if there are none.
func (b *Board) TakeSeen(now time.Time) Paces {
	var seen Paces
	for runner, s := range b.seen {
		if now.Sub(s.at) >= sightingTTL {
			continue
		}
		if seen == nil {
			seen = make(Paces, len(b.seen))
		}
		seen[runner] = s.figure
	}
	clear(b.seen)
	return seen
}

// Record records figures that a VM has seen; the lease holder calls it.
func (b *Board) Record(seen Paces, now time.Time) {
	for runner, figure := range seen {
		if !isPossible(figure) {
			continue
		}
		known := b.known[runner]
		w, ok := b.windows[runner]
		if !ok || now.Sub(w.updatedAt) > windowTTL {
			w = newWindow(known.pace, figure, now)
			b.windows[runner] = w
		} else {
			w.add(figure, now)
		}
		if pace := w.pace(); differ(pace, known.pace) {
			known.pace = pace
			b.known[runner] = known
			b.changed[runner] = true
		}
	}
}

// TakeChanged returns the paces that Record changed since the last call, or nil if there are none.
func (b *Board) TakeChanged() Paces {
	if len(b.changed) == 0 {
		return nil
	}
	changed := make(Paces, len(b.changed))
	for runner := range b.changed {
		if pace := b.known[runner].pace; pace > 0 {
			changed[runner] = pace
		}
	}
	clear(b.changed)
	return changed
}

// Apply records paces that the lease holder sent.
func (b *Board) Apply(paces Paces) {
	for runner, pace := range paces {
		if isPossible(pace) {
			known := b.known[runner]
			known.pace = pace
			b.known[runner] = known
		}
	}
}

// Known returns all known paces, or nil if there are none.
func (b *Board) Known() Paces {
	if len(b.known) == 0 {
		return nil
	}
	paces := make(Paces, len(b.known))
	for runner, known := range b.known {
		paces[runner] = known.pace
	}
	return paces
}

// Pace returns the pace of a runner, or 0 if it isn't known.
func (b *Board) Pace(runner string) int { return b.known[runner].pace }

// Summary returns the summary of a service, whose runners are given.
func (b *Board) Summary(service string, runners []*roster.Runner, now time.Time) Summary {
	if len(b.known) == 0 {
		return Summary{}
	}
	if cached, ok := b.summaries[service]; ok && now.Sub(cached.at) < summaryTTL {
		return cached.Summary
	}
	b.paces = b.paces[:0]
	sum := 0
	for _, runner := range runners {
		if pace := b.known[runner.ID].pace; pace > 0 {
			b.paces = append(b.paces, pace)
			sum += pace
		}
	}
	var summary Summary
	if n := len(b.paces); n > 0 {
		slices.Sort(b.paces)
		summary = Summary{
			Mean:   float64(sum) / float64(n),
			Median: b.paces[n/2],
		}
	}
	b.summaries[service] = cachedSummary{
		Summary: summary,
		at:      now,
	}
	return summary
}

// Prune drops what is known of runners that have not been registered for some time, and what has expired.
func (b *Board) Prune(isRegistered func(runner string) bool, now time.Time) {
	for runner, known := range b.known {
		switch missing := !isRegistered(runner); {
		case missing == known.missingSince.IsZero():
			known.missingSince = time.Time{}
			if missing {
				known.missingSince = now
			}
			b.known[runner] = known
		case missing && now.Sub(known.missingSince) >= unregisteredTTL:
			delete(b.known, runner)
		}
	}
	maps.DeleteFunc(b.seen, func(_ string, s sighting) bool { return now.Sub(s.at) >= sightingTTL })
	maps.DeleteFunc(b.windows, func(_ string, w *window) bool { return now.Sub(w.updatedAt) > windowTTL })
	maps.DeleteFunc(b.summaries, func(_ string, c cachedSummary) bool { return now.Sub(c.at) >= windowTTL })
}

func isPossible(figure int) bool { return figure > 0 && figure <= MaxFigure }

// differ reports whether a pace differs from the known one, or from none, by so much that VMs are told.
func differ(pace, known int) bool {
	return known == 0 || 100*max(pace-known, known-pace) >= changePercent*known
}
