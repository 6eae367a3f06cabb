package quarantine

import "time"

// provingTime is how long a runner has to run after the first data of an answer to show that the prompt does not crash it. A runner
// that ends sooner may have been crashed by the prompt: some data is often sent before the process ends.
const provingTime = 500 * time.Millisecond

// Progress is how far a runner has got with the answer to a request, as far as that tells whether the prompt crashes runners.
type Progress struct {
	sentAt  time.Time
	begunAt time.Time
	lastAt  time.Time
	whole   bool
}

// NewProgress returns the progress of a request that is sent to a runner.
func NewProgress(sentAt time.Time) Progress {
	return Progress{
		sentAt: sentAt,
		lastAt: sentAt,
	}
}

// WithData returns the progress after data of the answer has arrived.
func (p Progress) WithData(at time.Time) Progress {
	if p.begunAt.IsZero() {
		p.begunAt = at
	}
	p.lastAt = at
	return p
}

// WithEnd returns the progress after the end of the answer, which its framing marks, has arrived.
func (p Progress) WithEnd(at time.Time) Progress {
	p = p.WithData(at)
	p.whole = true
	return p
}

// Sound reports whether the answer shows that the prompt does not crash its runner: it is whole, or has been arriving for long enough.
func (p Progress) Sound() bool {
	return p.whole || (p.Begun() && p.lastAt.Sub(p.begunAt) >= provingTime)
}

// MayCrash reports whether the prompt may be what ended a connection that broke off at a time.
func (p Progress) MayCrash(brokeOff time.Time) bool {
	return !p.Sound() && (!p.Begun() || brokeOff.Sub(p.begunAt) < provingTime)
}

// Begun reports whether data of the answer has arrived.
func (p Progress) Begun() bool { return !p.begunAt.IsZero() }

// Strike returns the strike of a request whose connection broke off at a time.
func (p Progress) Strike(incarnation Incarnation, sections []string, at time.Time) Strike {
	return Strike{
		Incarnation: incarnation,
		Sections:    sections,
		SentAt:      p.sentAt,
		At:          at,
		Begun:       p.Begun(),
	}
}

// Success returns the success of a request whose answer has begun.
func (p Progress) Success(sections []string) Success {
	return Success{
		Sections: sections,
		SentAt:   p.sentAt,
		At:       p.begunAt,
		Proven:   p.Sound(),
	}
}
