package quarantine

import (
	"cmp"
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
	// maxSuspicions, maxCrashes, maxStrikes, maxCrashSections and maxParoled bound the memory: the suspicions, the crashes, the
	// strikes of a suspicion, the suspects of a crash and the sections on parole.
	maxSuspicions    = 4096
	maxParoled       = 1024
	maxCrashes       = 512
	maxStrikes       = 32
	maxCrashSections = 256
	// maxWatched is the maximum number of sections that Watched returns.
	maxWatched = 64
)

// Detector finds the sections that crash runners. It is not safe for concurrent use.
type Detector struct {
	suspicions map[suspect]*suspicion
	crashes    map[Incarnation]*crash
	// convicted holds the convictions in force, paroled the sections whose conviction has expired.
	convicted map[string]conviction
	paroled   map[string]time.Time
}

// conviction is the finding that a section crashes runners.
type conviction struct {
	at time.Time
	// stage is when the section crashes runners. Of a conviction that another VM made, it is afterData, which takes more to refute.
	stage stage
	// strikes is the number of consecutive strikes that it needs, or 0 if another VM made it.
	strikes int
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector {
	return &Detector{
		suspicions: make(map[suspect]*suspicion),
		crashes:    make(map[Incarnation]*crash),
		convicted:  make(map[string]conviction),
		paroled:    make(map[string]time.Time),
	}
}

// Record records a strike, for the next judgment. It returns the sections whose conviction is refuted by that.
func (d *Detector) Record(s Strike) (released []string) {
	c, released := d.crashOf(s.Incarnation, s.At)
	if !s.At.After(c.aliveAt) {
		return released
	}
	for _, section := range s.Sections {
		d.accuse(s.Incarnation, c, suspectAt(section, s.stage()))
		c.explained = c.explained || d.Convicted(section)
	}
	if c.explained {
		d.dropStrikes(s.Incarnation, c)
	}
	for i, section := range s.Sections {
		if accused := c.suspects[suspectAt(section, s.stage())]; accused && (!c.explained || d.Convicted(section)) {
			d.suspicionOf(suspectAt(section, s.stage())).add(s, s.depth(i))
		}
	}
	d.evictSuspicions()
	return released
}

// Success records an answer and returns the sections whose conviction it refutes.
func (d *Detector) Success(success Success) (released []string) {
	soundAt := success.SoundAt()
	for _, section := range success.Sections {
		if d.Sound(section, soundAt, success.Proven) {
			released = append(released, section)
		}
	}
	return released
}

// Sound records that an answer with a section began at a time, and whether it was proven to be sound, and reports whether that refutes
// the section's conviction.
func (d *Detector) Sound(section string, at time.Time, proven bool) (released bool) {
	c, convicted := d.convicted[section]
	refuted := convicted && (proven || c.stage == beforeData) && at.After(c.at)
	for _, stage := range stages {
		if stage == afterData && !proven {
			continue
		}
		s := suspectAt(section, stage)
		known := d.suspicions[s] != nil
		suspected := d.suspicionOf(s)
		suspected.clear(at)
		refuted = refuted || convicted && stage == c.stage && known && suspected.count() < c.strikes
	}
	d.evictSuspicions()
	if refuted {
		d.Release(section)
	}
	return refuted
}

// Alive records that an incarnation ran at a time after a connection to it had broken off, so that no section had crashed it. It
// returns the sections whose conviction this refutes.
func (d *Detector) Alive(incarnation Incarnation, at time.Time) (released []string) {
	c := d.crashes[incarnation]
	if c == nil || c.alive() || !at.After(c.at) {
		return nil
	}
	c.aliveAt = at
	for s := range c.suspects {
		suspected := d.suspicions[s]
		if suspected == nil {
			continue
		}
		suspected.drop(incarnation)
		if c, convicted := d.convicted[s.section]; convicted && c.stage == s.stage && suspected.count() < min(c.strikes, suspectStrikes) {
			d.Release(s.section)
			released = append(released, s.section)
		}
	}
	return released
}

// Adopt records a conviction made elsewhere, on evidence that is not known here.
func (d *Detector) Adopt(section string, at time.Time) {
	if c, convicted := d.convicted[section]; convicted && c.strikes == 0 {
		return
	}
	d.sentence(section, conviction{
		at:    at,
		stage: afterData,
	})
	d.forget(section)
}

// Release drops a conviction and what was held against the section.
func (d *Detector) Release(section string) {
	delete(d.convicted, section)
	delete(d.paroled, section)
	d.forget(section)
}

// forget drops what is held against a section.
func (d *Detector) forget(section string) {
	for _, stage := range stages {
		delete(d.suspicions, suspectAt(section, stage))
	}
}

// Parole records that a conviction has expired: one strike convicts the section again.
func (d *Detector) Parole(section string, now time.Time) {
	d.Release(section)
	d.paroled[section] = now
	evictOldest(d.paroled, maxParoled, func(at time.Time) time.Time { return at })
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
	counts, changedAt := make(map[string]int), make(map[string]time.Time)
	for s, suspected := range d.suspicions {
		if d.Convicted(s.section) {
			continue
		}
		suspected.expire(now)
		if count := suspected.count(); count > 0 {
			counts[s.section] = max(counts[s.section], count)
			changedAt[s.section] = latest(changedAt[s.section], suspected.changedAt())
		}
	}
	watched = slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], changedAt[b].Compare(changedAt[a]), cmp.Compare(a, b))
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

func (d *Detector) suspicionOf(s suspect) *suspicion {
	suspected := d.suspicions[s]
	if suspected == nil {
		suspected = &suspicion{}
		d.suspicions[s] = suspected
	}
	return suspected
}

// evictSuspicions drops suspicions if there are too many: those with the fewest strikes, which any prompt can cause, and among them
// those whose evidence is oldest.
func (d *Detector) evictSuspicions() {
	if len(d.suspicions) <= maxSuspicions {
		return
	}
	suspects := slices.SortedFunc(maps.Keys(d.suspicions), func(a, b suspect) int {
		x, y := d.suspicions[a], d.suspicions[b]
		return cmp.Or(cmp.Compare(min(len(x.strikes), 2), min(len(y.strikes), 2)), x.changedAt().Compare(y.changedAt()))
	})
	for _, s := range suspects[:maxSuspicions/8] {
		delete(d.suspicions, s)
	}
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
