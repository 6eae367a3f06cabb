package entry

import (
	"sync"
	"time"
)

// heartbeatTimes records when each peer last sent a heartbeat.
type heartbeatTimes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (h *heartbeatTimes) record(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last == nil {
		h.last = make(map[string]time.Time)
	}
	h.last[name] = now
}

// countSince returns how many peers sent a heartbeat at cutoff or later, and removes the others.
func (h *heartbeatTimes) countSince(cutoff time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, at := range h.last {
		if at.Before(cutoff) {
			delete(h.last, name)
		}
	}
	return len(h.last)
}
