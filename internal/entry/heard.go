package entry

import (
	"sync"
	"time"
)

// heard remembers when each peer last sent a heartbeat.
type heard struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (h *heard) note(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = make(map[string]time.Time)
	}
	h.at[name] = now
}

// since counts the peers heard after a time and forgets the others.
func (h *heard) since(after time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, at := range h.at {
		if at.Before(after) {
			delete(h.at, name)
		}
	}
	return len(h.at)
}
