package claim

import "time"

// Entry is what is known of a key.
type Entry struct {
	Attempt string
	Digest  uint64
	Claimed time.Time
	// Outcome is nil until the winning attempt has ended.
	Outcome *Outcome
}
