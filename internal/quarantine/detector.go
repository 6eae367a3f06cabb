package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// timingError bounds the error of the times in evidence of several VMs: the delay of a link, and the time until a VM notices
	// that a connection broke off.
	timingError = 250 * time.Millisecond
	// crashSpan is the time between the first and the last strike of one crash at most: VMs may be slow to notice it.
	crashSpan = 3 * time.Second
	// strikeTTL is how long a strike counts.
	strikeTTL = 10 * time.Minute
	// maxSections, maxCrashes, maxStrikes and maxCrashSections bound the memory: the sections with evidence, the crashes, the
	// strikes of a section and the sections of a crash.
	maxSections      = 1024
	maxCrashes       = 512
	maxStrikes       = 32
	maxCrashSections = 128
	// maxWatched is the maximum number of sections that Watched returns.
	maxWatched = 64
)

// Detector finds the sections that crash runners. It is not safe for concurrent use.
type Detector struct {
	sections map[string]*suspicion
	crashes  map[Incarnation]*crash
	// convicted holds the convictions in force, paroled the sections whose conviction has expired.
	convicted map[string]conviction
	paroled   map[string]time.Time
}

// crash is the break-off of an incarnation's connections.
type crash struct {
	at time.Time
	// sections lists those of the requests that were pending.
	sections map[string]bool
	// explained is set if a convicted section was pending.
	explained bool
	// aliveAt is until when the incarnation is known to have run.
	aliveAt time.Time
}

// alive reports whether the incarnation ran on, so that there was no crash.
func (c *crash) alive() bool { return c.aliveAt.After(c.at) }

// conviction is the finding that a section crashes runners.
type conviction struct {
	at time.Time
	// strikes is the number of consecutive strikes that it needs, or 0 if another VM made it.
	strikes int
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector {
	return &Detector{
		sections:  make(map[string]*suspicion),
		crashes:   make(map[Incarnation]*crash),
		convicted: make(map[string]conviction),
		paroled:   make(map[string]time.Time),
	}
}

// Record records a strike, for the next judgment. It returns the sections whose conviction is refuted by that.
func (d *Detector) Record(s Strike) (released []string) {
	c, released := d.crashOf(s.Incarnation, s.At)
	if !s.At.After(c.aliveAt) {
		return released
	}
	for _, section := range s.Sections {
		if len(c.sections) < maxCrashSections {
			c.sections[section] = true
		}
		c.explained = c.explained || d.Convicted(section)
	}
	if c.explained {
		d.dropStrikes(s.Incarnation, c)
	}
	for depth, section := range s.Sections {
		if !c.explained || d.Convicted(section) {
			d.suspicionOf(section).add(s, depth)
		}
	}
	d.evictSections()
	return released
}

// Success records that an answer has begun and returns the sections whose conviction it refutes.
func (d *Detector) Success(s Success) (released []string) {
	soundAt := s.SoundAt()
	for _, section := range s.Sections {
		if d.Sound(section, soundAt) {
			released = append(released, section)
		}
	}
	return released
}

// Sound records that a section was sound at a time, and reports whether that refutes its conviction.
func (d *Detector) Sound(section string, at time.Time) (released bool) {
	known := d.sections[section] != nil
	suspected := d.suspicionOf(section)
	suspected.clear(at)
	d.evictSections()
	c, convicted := d.convicted[section]
	refuted := at.After(c.at) || known && suspected.count() < c.strikes
	if !convicted || !refuted {
		return false
	}
	d.Release(section)
	return true
}

// Alive records that an incarnation ran at a time after a connection to it had broken off, so that no section had crashed it. It
// returns the sections whose conviction this refutes.
func (d *Detector) Alive(incarnation Incarnation, at time.Time) (released []string) {
	c := d.crashes[incarnation]
	if c == nil || c.alive() || !at.After(c.at) {
		return nil
	}
	c.aliveAt = at
	for section := range c.sections {
		suspected := d.sections[section]
		if suspected == nil {
			continue
		}
		suspected.drop(incarnation)
		if c, convicted := d.convicted[section]; convicted && suspected.count() < min(c.strikes, suspectStrikes) {
			d.Release(section)
			released = append(released, section)
		}
	}
	return released
}

// Adopt records a conviction made elsewhere, on evidence that is not known here.
func (d *Detector) Adopt(section string, at time.Time) {
	if c, convicted := d.convicted[section]; convicted && c.strikes == 0 {
		return
	}
	d.sentence(section, conviction{at: at})
	delete(d.sections, section)
}

// Release drops a conviction and what was held against the section.
func (d *Detector) Release(section string) {
	delete(d.convicted, section)
	delete(d.paroled, section)
	delete(d.sections, section)
}

// Parole records that a conviction has expired: one strike convicts the section again.
func (d *Detector) Parole(section string, now time.Time) {
	d.Release(section)
	d.paroled[section] = now
	evictOldest(d.paroled, maxSections, func(at time.Time) time.Time { return at })
}

// Convictions returns the convicted sections.
func (d *Detector) Convictions() []string { return slices.Sorted(maps.Keys(d.convicted)) }

// Convicted reports whether a section is convicted.
func (d *Detector) Convicted(section string) bool {
	_, convicted := d.convicted[section]
	return convicted
}

// Watched returns the sections with strikes, whose successes matter, those with the most strikes first, and the suspects among
// them.
func (d *Detector) Watched(now time.Time) (watched, suspects []string) {
	counts := make(map[string]int)
	for section, suspected := range d.sections {
		if d.Convicted(section) {
			continue
		}
		suspected.expire(now)
		if count := suspected.count(); count > 0 {
			counts[section] = count
			watched = append(watched, section)
		}
	}
	slices.SortFunc(watched, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		if order := d.sections[b].changedAt().Compare(d.sections[a].changedAt()); order != 0 {
			return order
		}
		if a < b {
			return -1
		}
		return 1
	})
	watched = watched[:min(len(watched), maxWatched)]
	for _, section := range watched {
		if counts[section] >= suspectStrikes {
			suspects = append(suspects, section)
		}
	}
	return watched, suspects
}

// Crashed returns the incarnations that had strikes since a time and are not known to run on, with the time of the first one.
func (d *Detector) Crashed(since time.Time) map[Incarnation]time.Time {
	crashed := make(map[Incarnation]time.Time)
	for incarnation, c := range d.crashes {
		if !c.alive() && c.at.After(since) {
			crashed[incarnation] = c.at
		}
	}
	return crashed
}

func (d *Detector) suspicionOf(section string) *suspicion {
	suspected := d.sections[section]
	if suspected == nil {
		suspected = &suspicion{}
		d.sections[section] = suspected
	}
	return suspected
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
		sections: make(map[string]bool),
	}
	if c != nil {
		next.aliveAt = c.aliveAt
	}
	d.crashes[incarnation] = next
	evictOldest(d.crashes, maxCrashes, func(c *crash) time.Time { return c.at })
	return next, released
}

// evictSections drops the sections whose evidence is oldest if there are too many.
func (d *Detector) evictSections() {
	evictOldest(d.sections, maxSections, func(s *suspicion) time.Time { return s.changedAt() })
}

// evictOldest deletes the oldest entries of a map until it has at most limit.
func evictOldest[K comparable, V any](entries map[K]V, limit int, changedAt func(V) time.Time) {
	for len(entries) > limit {
		var oldest K
		var oldestAt time.Time
		for key, value := range entries {
			if at := changedAt(value); oldestAt.IsZero() || at.Before(oldestAt) {
				oldest, oldestAt = key, at
			}
		}
		delete(entries, oldest)
	}
}
