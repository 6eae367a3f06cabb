package buffer

import (
	"strconv"
	"sync"
	"sync/atomic"
)

// Budget is the number of bytes that all shares of it may hold together; it is safe for concurrent use.
type Budget struct {
	limit int64
	// perShare is by how much each open share lowers the limit, down to a quarter.
	perShare int64
	held     atomic.Int64
	evicted  atomic.Uint64

	mu sync.Mutex
	// claimed is what the shares hold that are not evicted, optional the part of that which TryHold claimed. Those that hold
	// anything are in shares.
	claimed  int64
	optional int64
	shares   map[*Share]struct{}
	// open is the number of shares that are not released.
	open int64
}

// minLimitDivisor is the part of the limit that remains however many shares are open.
const minLimitDivisor = 4

// NewBudget returns a budget with a limit in bytes, which each open share lowers by perShare bytes, for what it takes besides.
func NewBudget(limit, perShare int64) *Budget {
	return &Budget{
		limit:    limit,
		perShare: perShare,
		shares:   make(map[*Share]struct{}),
	}
}

// currentLimit returns what the open shares may hold together; the caller holds the lock.
func (b *Budget) currentLimit() int64 {
	return max(b.limit-b.open*b.perShare, b.limit/minLimitDivisor)
}

// Held returns how many bytes all shares hold now, evicted ones included.
func (b *Budget) Held() int64 { return b.held.Load() }

// Evicted returns how many shares have been evicted.
func (b *Budget) Evicted() uint64 { return b.evicted.Load() }

// Share returns a share that holds nothing yet. If it is evicted, onEvict is called once; it must not block.
func (b *Budget) Share(onEvict func(*EvictedError)) *Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open++
	return &Share{
		budget:  b,
		onEvict: onEvict,
	}
}

// Share is what one response holds of a budget; it is safe for concurrent use.
type Share struct {
	budget  *Budget
	onEvict func(*EvictedError)
	// held, optional (whether TryHold claimed that) and released are guarded by the budget's lock.
	held     int64
	optional bool
	released bool
	evicted  atomic.Pointer[EvictedError]
}

// EvictedError reports that a response was given up because all responses together held too much, and it held the most.
type EvictedError struct {
	// Bytes is what the response held, Limit what all of them may hold together.
	Bytes int64
	Limit int64
}

// Error implements error.
func (e *EvictedError) Error() string {
	return "response given up: it holds " + strconv.FormatInt(e.Bytes, 10) + " bytes, the most of all, which together exceed " +
		strconv.FormatInt(e.Limit, 10)
}

// TryHold sets what the share holds if there is room, and reports whether there is. What it claims takes at most half of the budget, and
// is evicted only after all that Hold claimed.
func (s *Share) TryHold(bytes int) bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := int64(bytes) - s.held
	optional := b.optional + more
	if !s.optional {
		optional = b.optional + int64(bytes)
	}
	if s.Evicted() != nil || b.claimed+more > b.currentLimit() || optional > b.currentLimit()/2 {
		return false
	}
	b.set(s, int64(bytes), true)
	return true
}

// Hold sets what the share holds. If that does not fit into the budget, the shares that hold most are evicted until the others
// do. It fails with EvictedError if this share is or was evicted; what it holds counts until it is released.
func (s *Share) Hold(bytes int) error {
	b := s.budget
	b.mu.Lock()
	b.set(s, int64(bytes), false)
	var victims []*Share
	for b.claimed > b.currentLimit() {
		victims = append(victims, b.evictLargest())
	}
	b.mu.Unlock()
	for _, victim := range victims {
		victim.onEvict(victim.Evicted())
	}
	if evicted := s.Evicted(); evicted != nil {
		return evicted
	}
	return nil
}

// Release ends the share, which holds nothing from then on.
func (s *Share) Release() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.set(s, 0, false)
	if !s.released {
		s.released = true
		s.budget.open--
	}
}

// Evicted returns why the share was evicted, or nil if it was not.
func (s *Share) Evicted() *EvictedError { return s.evicted.Load() }

// set changes what a share holds; the caller holds the lock.
func (b *Budget) set(s *Share, bytes int64, optional bool) {
	if s.released {
		return
	}
	b.held.Add(bytes - s.held)
	if s.Evicted() == nil {
		b.unclaim(s)
		if bytes > 0 {
			b.claim(s, bytes, optional)
		}
	}
	s.held = bytes
}

// claim counts a share that holds something; the caller holds the lock.
func (b *Budget) claim(s *Share, bytes int64, optional bool) {
	b.shares[s] = struct{}{}
	b.claimed += bytes
	if s.optional = optional; optional {
		b.optional += bytes
	}
}

// unclaim ends that; the caller holds the lock.
func (b *Budget) unclaim(s *Share) {
	delete(b.shares, s)
	b.claimed -= s.held
	if s.optional {
		b.optional -= s.held
	}
	s.optional = false
}

// evictLargest evicts the share that holds most and returns it; the caller holds the lock.
func (b *Budget) evictLargest() *Share {
	var largest *Share
	for s := range b.shares {
		if largest == nil || evictedBefore(s, largest) {
			largest = s
		}
	}
	b.unclaim(largest)
	b.evicted.Add(1)
	largest.evicted.Store(&EvictedError{
		Bytes: largest.held,
		Limit: b.currentLimit(),
	})
	return largest
}

// evictedBefore reports whether a share is evicted before another one.
func evictedBefore(s, other *Share) bool {
	if s.optional != other.optional {
		return other.optional
	}
	return s.held > other.held
}
