package claim

import "time"

// Entry is the state of a claimed key.
type Entry struct {
	Attempt string
	Digest  uint64
	Claimed time.Time
	// Outcome is nil until the winning attempt has ended.
	Outcome *Outcome
}

// Released reports whether the winning attempt was released before anything was sent, so that another one may win the key.
func (e Entry) Released() bool { return e.Outcome != nil && e.Outcome.Released }
