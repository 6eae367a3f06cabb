package catalog

import "sync"

// Active keeps the newest catalog that the process has seen; its version never decreases.
type Active struct {
	mu      sync.Mutex
	current *Catalog
}

// NewActive returns an InForce without a catalog.
func NewActive() *Active {
	return &Active{}
}

// Current returns the catalog in force, or nil if there is none.
func (f *Active) Current() *Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Version returns the version in force, or 0 if there is none.
func (f *Active) Version() uint64 {
	if c := f.Current(); c != nil {
		return c.Version
	}
	return 0
}

// SetIfNewer puts a catalog in force if it is newer, and reports whether it did.
func (f *Active) SetIfNewer(c *Catalog) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && c.Version <= f.current.Version {
		return false
	}
	f.current = c
	return true
}
