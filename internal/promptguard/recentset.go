package promptguard

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// recentBits is the size of one generation of a set, maxRecent the number of sections after which the next one begins: a bit in
	// four is then set, so that one section in 16 that was not added seems to be there.
	recentBits = 1 << 18
	maxRecent  = recentBits / 8
)

// recentSet remembers which sections were added in the last one to two terms, in a fixed size whatever prompts contain: some that were
// not added seem to be there. It is safe for concurrent use.
type recentSet struct {
	term time.Duration

	mu sync.Mutex
	// newer is being filled since begunAt, and has count sections; older is forgotten when the next generation begins.
	newer   *[recentBits / 64]uint64
	older   *[recentBits / 64]uint64
	begunAt time.Time
	count   int
}

func newRecentSet(term time.Duration) *recentSet {
	return &recentSet{
		term:  term,
		newer: new([recentBits / 64]uint64),
		older: new([recentBits / 64]uint64),
	}
}

// add adds sections.
func (s *recentSet) add(keys []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		if s.count >= maxRecent || now.Sub(s.begunAt) >= s.term {
			s.newer, s.older = s.older, s.newer
			clear(s.newer[:])
			s.begunAt, s.count = now, 0
		}
		first, second := positions(key)
		if !isSet(s.newer, first) || !isSet(s.newer, second) {
			s.newer[first/64] |= 1 << (first % 64)
			s.newer[second/64] |= 1 << (second % 64)
			s.count++
		}
	}
}

// has reports whether a section seems to have been added lately.
func (s *recentSet) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, second := positions(key)
	return (isSet(s.newer, first) && isSet(s.newer, second)) || (isSet(s.older, first) && isSet(s.older, second))
}

// positions returns the two bits of a section.
func positions(key string) (first, second uint64) {
	hash := xxhash.Sum64String(key)
	return hash % recentBits, (hash >> 32) % recentBits
}

func isSet(bits *[recentBits / 64]uint64, position uint64) bool {
	return bits[position/64]&(1<<(position%64)) != 0
}
