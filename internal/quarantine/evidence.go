package quarantine

import "time"

// Incarnation identifies one run of a runner's process.
type Incarnation struct {
	Runner string
	Number int64
}

// Strike describes a request whose connection broke off before the answer showed that its sections are sound.
type Strike struct {
	Incarnation Incarnation
	// Sections lists the sections of the prompt in order, without the request's own.
	Sections []string
	// Depths lists the positions of the sections in the prompt, unless all of its first ones are listed.
	Depths []int
	SentAt time.Time
	// At is when the connection broke off.
	At time.Time
	// Begun is set if data of the answer had arrived before.
	Begun bool
}

// stage returns when the request's sections crash their runners, if one of them did so here.
func (s Strike) stage() stage {
	if s.Begun {
		return afterData
	}
	return beforeData
}

// depth returns the position in the prompt of a section of the list.
func (s Strike) depth(i int) int {
	if i < len(s.Depths) {
		return s.Depths[i]
	}
	return i
}

// WithDepths returns the strike with the positions of its sections in the prompt.
func (s Strike) WithDepths(depths []int) Strike {
	s.Depths = depths
	return s
}

// Success describes a request that a runner has begun to answer. That shows that its sections do not crash runners before they begin
// to answer.
type Success struct {
	Sections []string
	SentAt   time.Time
	// At is when the first data of the answer arrived.
	At time.Time
	// Proven is set if the answer shows as well that its sections do not crash runners that have begun to answer.
	Proven bool
}

// SoundAt returns until when the sections were certainly sound.
func (s Success) SoundAt() time.Time {
	if begun := s.At.Add(-timingError); begun.After(s.SentAt) {
		return begun
	}
	return s.SentAt
}
