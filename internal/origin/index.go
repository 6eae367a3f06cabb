package origin

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxEntries limits a generation of an index. Beyond it, the next generation begins early.
const maxEntries = 1 << 18

// key identifies a stream: a hash of the ID of the request that began it.
type key uint64

func keyOf(requestID string) key { return key(xxhash.Sum64String(requestID)) }

// begun is a stream with the service and the release that began it.
type begun struct {
	service string
	release string
}

// index remembers streams for one to two terms; it is safe for concurrent use.
type index struct {
	term time.Duration

	mu sync.Mutex
	// origins lists what streams refer to by its position, which keeps their entries small; positions is its inverse.
	origins   []begun
	positions map[begun]uint16
	newer     map[key]uint16
	older     map[key]uint16
	begunAt   time.Time
}

func newIndex(term time.Duration) *index {
	return &index{
		term:      term,
		positions: make(map[begun]uint16),
		newer:     make(map[key]uint16),
		older:     make(map[key]uint16),
	}
}

// add adds a stream. The first release stays: it is the one whose events the caller has.
func (i *index) add(k key, b begun, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.newer) >= maxEntries || now.Sub(i.begunAt) >= i.term {
		i.older, i.newer = i.newer, make(map[key]uint16)
		i.begunAt = now
	}
	if _, known := i.older[k]; known {
		return
	}
	if _, known := i.newer[k]; known {
		return
	}
	position, known := i.positions[b]
	if !known {
		if len(i.origins) > math.MaxUint16 {
			return
		}
		position = uint16(len(i.origins))
		i.origins = append(i.origins, b)
		i.positions[b] = position
	}
	i.newer[k] = position
}

func (i *index) get(k key) (begun, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	position, ok := i.newer[k]
	if !ok {
		position, ok = i.older[k]
	}
	if !ok {
		return begun{}, false
	}
	return i.origins[position], true
}

// moveTo moves all streams to another index, where they are kept for as long as those that are new now.
func (i *index) moveTo(other *index, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, generation := range []map[key]uint16{i.older, i.newer} {
		for k, position := range generation {
			other.add(k, i.origins[position], now)
		}
	}
	i.newer, i.older = make(map[key]uint16), make(map[key]uint16)
}

// expire forgets streams to which none were added for two terms.
func (i *index) expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.newer)+len(i.older) > 0 && now.Sub(i.begunAt) >= 2*i.term {
		i.newer, i.older = make(map[key]uint16), make(map[key]uint16)
	}
}

// collect adds the streams of a service, or of all if it is empty, to those that are to be reported, and returns their number.
func (i *index) collect(service string, p pending) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	var collected int
	for _, generation := range []map[key]uint16{i.older, i.newer} {
		for k, position := range generation {
			if b := i.origins[position]; service == "" || b.service == service {
				p.add(b, k)
				collected++
			}
		}
	}
	return collected
}
