package quarantine

import "context"

// Store keeps records beyond the life of all VMs.
type Store interface {
	// LoadQuarantine returns the newest record of each section. It fails with logservice.UnavailableError.
	LoadQuarantine(ctx context.Context) ([]Entry, error)
	// SaveQuarantine replaces the record of a section. It fails with logservice.UnavailableError or logservice.ResponseLostError.
	SaveQuarantine(ctx context.Context, e Entry) error
	// DeleteQuarantine deletes the record of a section, and fails like SaveQuarantine.
	DeleteQuarantine(ctx context.Context, section string) error
}
