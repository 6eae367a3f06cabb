package pacing

import "time"

const (
	// windowTime is the least length of a window. The lowest figure of the last two windows counts, so a machine that becomes slow
	// for good is noticed after one to two windows.
	windowTime = 10 * time.Second
	// minFigures is how many figures, spaced by spellTime, a window has at least: a runner is slow for 15% of the time, and all six
	// are from slow spells once in 90,000 windows.
	minFigures = 6
	// spellTime is longer than a slow spell, which lasts about 600 ms.
	spellTime = time.Second
	// windowTTL is how long a window without a figure is kept.
	windowTTL = time.Minute
)

// window keeps the lowest recent figure of one runner.
type window struct {
	startedAt time.Time
	// lowest is the lowest figure of this window, previous that of the one before, or 0 if there is none.
	lowest   int
	previous int
	// figures counts the figures of this window that are spaced by spellTime, the newest of which is of countedAt.
	figures   int
	countedAt time.Time
	updatedAt time.Time
}

// newWindow returns a window with a first figure; known is the pace known before, or 0.
func newWindow(known, figure int, now time.Time) *window {
	return &window{
		startedAt: now,
		lowest:    figure,
		previous:  known,
		figures:   1,
		countedAt: now,
		updatedAt: now,
	}
}

// add adds a figure.
func (w *window) add(figure int, now time.Time) {
	if now.Sub(w.startedAt) >= windowTime && w.figures >= minFigures {
		*w = *newWindow(w.lowest, figure, now)
		return
	}
	w.lowest = min(w.lowest, figure)
	w.updatedAt = now
	if now.Sub(w.countedAt) >= spellTime {
		w.figures++
		w.countedAt = now
	}
}

// pace returns the lowest figure of this window and the previous one.
func (w *window) pace() int {
	if w.previous == 0 {
		return w.lowest
	}
	return min(w.lowest, w.previous)
}
