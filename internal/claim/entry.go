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

// Free reports whether the attempt that won was given up before anything was sent, so that another one may win.
func (e Entry) Free() bool { return e.Outcome != nil && e.Outcome.Released }
