package catalog

import "sync"

// Active keeps the active catalog, which is the newest that the process has seen; its version never decreases.
type Active struct {
	mu      sync.Mutex
	current *Catalog
}

// NewActive returns an Active without a catalog.
func NewActive() *Active {
	return &Active{}
}

// Current returns the active catalog, or nil if there is none.
func (a *Active) Current() *Catalog {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// Version returns the version of the active catalog, or 0 if there is none.
func (a *Active) Version() uint64 {
	if c := a.Current(); c != nil {
		return c.Version
	}
	return 0
}

// SetIfNewer activates a catalog if it is newer than the active one, and reports whether it did.
func (a *Active) SetIfNewer(c *Catalog) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && c.Version <= a.current.Version {
		return false
	}
	a.current = c
	return true
}
