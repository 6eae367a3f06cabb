package quarantine

import (
	"slices"
	"time"
)

// crash is the break-off of an incarnation's connections.
type crash struct {
	at time.Time
	// suspects lists the sections of the requests that broke off.
	suspects map[suspect]bool
	// explained is set if a convicted section was pending.
	explained bool
	// aliveAt is until when the incarnation is known to have run.
	aliveAt time.Time
}

// alive reports whether the incarnation ran on, so that there was no crash.
func (c *crash) alive() bool { return c.aliveAt.After(c.at) }

// has reports whether a section was pending in any stage.
func (c *crash) has(section string) bool {
	return c.suspects[suspectAt(section, beforeData)] || c.suspects[suspectAt(section, afterData)]
}

// accuse adds a suspect to a crash. Once there are many, only those that were pending at other crashes count.
func (d *Detector) accuse(incarnation Incarnation, c *crash, s suspect) {
	if c.suspects[s] || len(c.suspects) < maxCrashSections {
		c.suspects[s] = true
		return
	}
	if !d.recurs(s, incarnation) {
		return
	}
	for other := range c.suspects {
		if !d.recurs(other, incarnation) {
			delete(c.suspects, other)
			c.suspects[s] = true
			return
		}
	}
}

// recurs reports whether a suspect is convicted, or was pending at the crash of another incarnation.
func (d *Detector) recurs(s suspect, incarnation Incarnation) bool {
	if d.Convicted(s.section) {
		return true
	}
	suspected := d.suspicions[s]
	return suspected != nil && slices.ContainsFunc(suspected.strikes, func(known strike) bool { return known.incarnation != incarnation })
}

// crashOf returns the crash of an incarnation to which a strike belongs. If there was an earlier one, the incarnation ran on
// after it; the sections whose conviction this refutes are returned.
func (d *Detector) crashOf(incarnation Incarnation, at time.Time) (c *crash, released []string) {
	c = d.crashes[incarnation]
	if c != nil && at.After(c.at.Add(crashSpan)) {
		released = d.Alive(incarnation, c.at.Add(crashSpan))
	}
	if c != nil && (!c.alive() || !at.After(c.aliveAt)) {
		return c, released
	}
	next := &crash{
		at:       at,
		suspects: make(map[suspect]bool),
	}
	if c != nil {
		next.aliveAt = c.aliveAt
	}
	d.crashes[incarnation] = next
	evictOldest(d.crashes, maxCrashes, func(c *crash) time.Time { return c.at })
	return next, released
}
