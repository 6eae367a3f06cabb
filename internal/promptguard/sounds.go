package promptguard

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxSounds bounds the sections whose last success is remembered, maxSoundsSent those that are sent over a new link.
	maxSounds     = 2048
	maxSoundsSent = 256
	// soundTTL is how long a success is remembered.
	soundTTL = 30 * time.Second
)

// sounds remembers until when sections were known to be sound; it is safe for concurrent use.
type sounds struct {
	mu sync.Mutex
	at map[string]time.Time
}

// record records that sections were sound at a time.
func (s *sounds) record(sections []string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, section := range sections {
		if _, known := s.at[section]; !known && len(s.at) >= maxSounds {
			continue
		}
		if at.After(s.at[section]) {
			s.at[section] = at
		}
	}
}

// ages returns how long ago the sections of a list were sound, of those that are remembered.
func (s *sounds) ages(sections []string, now time.Time) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ages := make(map[string]time.Duration)
	for _, section := range sections {
		if at, known := s.at[section]; known {
			ages[section] = now.Sub(at)
		}
	}
	return ages
}

// newest returns the sections that were sound last.
func (s *sounds) newest() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	sections := slices.SortedFunc(maps.Keys(s.at), func(a, b string) int {
		if order := s.at[b].Compare(s.at[a]); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	return sections[:min(len(sections), maxSoundsSent)]
}

// expire forgets the successes that are too old.
func (s *sounds) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.at, func(_ string, at time.Time) bool { return now.Sub(at) > soundTTL })
}
