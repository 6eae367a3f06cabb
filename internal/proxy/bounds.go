package proxy

import "sync"

// bounds limits the requests of other VMs that are in progress, and their bytes.
type bounds struct {
	maxRequests int
	maxBytes    int64

	mu       sync.Mutex
	requests int
	bytes    int64
}

// take reports whether a request of a size fits, and counts it until release.
func (b *bounds) take(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests >= b.maxRequests || size > b.maxBytes-b.bytes {
		return false
	}
	b.requests++
	b.bytes += size
	return true
}

func (b *bounds) release(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests--
	b.bytes -= size
}
