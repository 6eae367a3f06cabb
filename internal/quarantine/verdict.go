package quarantine

import "time"

const (
	// suspectStrikes is the number of consecutive strikes that makes a section a suspect, convictStrikes the number that convicts
	// it.
	suspectStrikes = 2
	convictStrikes = 3
	// decideStrikes is the number of consecutive strikes that convicts the most likely of several sections which were pending at
	// the same crashes.
	decideStrikes = 5
)

// convict convicts the sections that enough strikes point to, the most likely one first: a conviction explains crashes, which
// then no longer count for other sections.
func (d *Detector) convict(now time.Time) []string {
	var convicted []string
	for {
		section, ok := d.mostLikely(now)
		if !ok {
			return convicted
		}
		d.sentence(section, conviction{
			at:      now,
			strikes: d.threshold(section),
		})
		convicted = append(convicted, section)
	}
}

// mostLikely returns the section to convict next, if there is one.
func (d *Detector) mostLikely(now time.Time) (string, bool) {
	best, found := "", false
	for section, suspected := range d.sections {
		if d.Convicted(section) {
			continue
		}
		suspected.expire(now)
		if suspected.count() >= d.threshold(section) && (!found || d.likelier(section, best)) {
			best, found = section, true
		}
	}
	if !found || d.onParole(best) || d.sections[best].count() >= decideStrikes {
		return best, found
	}
	return best, !d.hasRival(best)
}

func (d *Detector) onParole(section string) bool {
	_, paroled := d.paroled[section]
	return paroled
}

// threshold returns the number of consecutive strikes that convicts a section.
func (d *Detector) threshold(section string) int {
	if d.onParole(section) {
		return 1
	}
	return convictStrikes
}

// likelier reports whether a rather than b crashes runners: a former convict, the section with more consecutive strikes, or
// with more crashes, or else the one that is later in the prompt, as fewer sound requests share it.
func (d *Detector) likelier(a, b string) bool {
	x, y := d.sections[a], d.sections[b]
	if paroled := d.onParole(a); paroled != d.onParole(b) {
		return paroled
	}
	if m, n := x.count(), y.count(); m != n {
		return m > n
	}
	if m, n := len(x.strikes), len(y.strikes); m != n {
		return m > n
	}
	if x.depth != y.depth {
		return x.depth > y.depth
	}
	return a < b
}

// hasRival reports whether another suspect was pending at most of a section's crashes. An answer that clears one of the two may
// still be on its way.
func (d *Detector) hasRival(section string) bool {
	suspected := d.sections[section]
	for other, rival := range d.sections {
		if other == section || d.Convicted(other) || rival.count() < suspectStrikes {
			continue
		}
		shared := 0
		for _, known := range suspected.strikes {
			if rival.has(known.incarnation) {
				shared++
			}
		}
		if 2*shared > len(suspected.strikes) {
			return true
		}
	}
	return false
}

func (d *Detector) sentence(section string, c conviction) {
	d.convicted[section] = c
	delete(d.paroled, section)
	for incarnation, crashed := range d.crashes {
		if crashed.sections[section] {
			crashed.explained = true
			d.dropStrikes(incarnation, crashed)
		}
	}
}

// dropStrikes drops the strikes at an incarnation of all sections that are not convicted.
func (d *Detector) dropStrikes(incarnation Incarnation, c *crash) {
	for section := range c.sections {
		if suspected := d.sections[section]; suspected != nil && !d.Convicted(section) {
			suspected.drop(incarnation)
		}
	}
}

// refuted reports whether a conviction rested on strikes that no longer suffice.
func (d *Detector) refuted(section string) bool {
	c, convicted := d.convicted[section]
	if !convicted || c.strikes == 0 {
		return false
	}
	suspected := d.sections[section]
	return suspected != nil && suspected.count() < c.strikes
}
