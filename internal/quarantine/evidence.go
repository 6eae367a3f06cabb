package quarantine

import "time"

// Incarnation identifies one run of a runner's process.
type Incarnation struct {
	Runner string
	Number int64
}

// Strike describes a request that a runner had not begun to answer when its connection broke off.
type Strike struct {
	Incarnation Incarnation
	// Sections lists the sections of the prompt in order, without the request's own.
	Sections []string
	SentAt   time.Time
	// At is when the connection broke off.
	At time.Time
}

// Success describes a request that a runner has begun to answer, which shows that its sections are sound.
type Success struct {
	Sections []string
	SentAt   time.Time
	// At is when the first data of the answer arrived.
	At time.Time
}

// SoundAt returns until when the sections were certainly sound.
func (s Success) SoundAt() time.Time {
	if begun := s.At.Add(-timingError); begun.After(s.SentAt) {
		return begun
	}
	return s.SentAt
}
