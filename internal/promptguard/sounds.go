package promptguard

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxSounds bounds the sections of several answers whose last one is remembered, and those of only one; maxSoundsSent bounds
	// those that are sent over a new link.
	maxSounds     = 4096
	maxSoundsSent = 256
	// soundTTL is how long a success is remembered.
	soundTTL = 30 * time.Second
)

// sounds remembers until when sections were known to be sound; it is safe for concurrent use. Sections that only one answer had are
// kept apart, so that a caller whose requests have sections of their own does not displace those that requests share.
type sounds struct {
	mu   sync.Mutex
	at   map[string]time.Time
	once map[string]time.Time
}

func newSounds() *sounds {
	return &sounds{
		at:   make(map[string]time.Time),
		once: make(map[string]time.Time),
	}
}

// record records that sections were sound at a time.
func (s *sounds) record(sections []string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, section := range sections {
		before, shared := s.at[section]
		if shared {
			s.at[section] = laterOf(before, at)
			continue
		}
		if before, known := s.once[section]; known {
			delete(s.once, section)
			makeRoom(s.at, maxSounds)
			s.at[strings.Clone(section)] = laterOf(before, at)
			continue
		}
		makeRoom(s.once, maxSounds)
		s.once[strings.Clone(section)] = at
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// makeRoom deletes an entry, whichever comes first, if there are limit of them.
func makeRoom(entries map[string]time.Time, limit int) {
	if len(entries) < limit {
		return
	}
	for section := range entries {
		delete(entries, section)
		return
	}
}

func (s *sounds) lookup(section string) (time.Time, bool) {
	if at, known := s.at[section]; known {
		return at, true
	}
	at, known := s.once[section]
	return at, known
}

// ages returns how long ago the sections of a list were sound, of those that are remembered.
func (s *sounds) ages(sections []string, now time.Time) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ages := make(map[string]time.Duration)
	for _, section := range sections {
		if at, known := s.lookup(section); known {
			ages[section] = now.Sub(at)
		}
	}
	return ages
}

// newest returns the sections that were sound last, those of several answers first.
func (s *sounds) newest() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sections []string
	for _, entries := range []map[string]time.Time{s.at, s.once} {
		sections = append(sections, slices.SortedFunc(maps.Keys(entries), func(a, b string) int {
			return cmp.Or(entries[b].Compare(entries[a]), cmp.Compare(a, b))
		})...)
	}
	return sections[:min(len(sections), maxSoundsSent)]
}

// expire forgets the successes that are too old.
func (s *sounds) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entries := range []map[string]time.Time{s.at, s.once} {
		maps.DeleteFunc(entries, func(_ string, at time.Time) bool { return now.Sub(at) > soundTTL })
	}
}
