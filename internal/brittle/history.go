package brittle

import "time"

const (
	// sampleInterval is the shortest time between two samples of a history, samples how many it keeps.
	sampleInterval = 25 * time.Millisecond
	samples        = 24
)

// history is the number of this VM's requests at a runner in the recent past.
type history struct {
	counts [samples]sample
	newest int
}

type sample struct {
	at    time.Time
	count int
}

// record adds a sample unless the newest one is too recent.
func (h *history) record(count int, now time.Time) {
	if now.Sub(h.counts[h.newest].at) < sampleInterval {
		return
	}
	h.newest = (h.newest + 1) % samples
	h.counts[h.newest] = sample{
		at:    now,
		count: count,
	}
}

// at returns the number at a time, or the oldest one known.
func (h *history) at(t time.Time) int {
	count := 0
	for i := range samples {
		s := h.counts[(h.newest+samples-i)%samples]
		if s.at.IsZero() {
			break
		}
		count = s.count
		if !s.at.After(t) {
			break
		}
	}
	return count
}
