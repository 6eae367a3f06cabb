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
	// decideDelay is how long no answer must have cleared a section that was pending at as many crashes, but has fewer consecutive
	// strikes.
	decideDelay = time.Second
	// clearLead is how many more crashes than another a section must have been pending at to be convicted before that.
	clearLead = 3
)

// Judge convicts the sections that enough strikes point to, the most likely one first: a conviction explains crashes, which
// then no longer count for other sections. It also returns the sections whose conviction is refuted by that.
func (d *Detector) Judge(now time.Time) (convicted, released []string) {
	for {
		section, ok := d.mostLikely(now)
		if !ok {
			return convicted, released
		}
		released = append(released, d.releaseExplained(section)...)
		d.sentence(section, conviction{
			at:      now,
			strikes: d.threshold(section),
		})
		convicted = append(convicted, section)
	}
}

// releaseExplained releases the convicted sections whose crashes are explained by a section that is convicted now.
func (d *Detector) releaseExplained(by string) (released []string) {
	for section, c := range d.convicted {
		suspected := d.sections[section]
		if c.strikes == 0 || suspected == nil {
			continue
		}
		unexplained := 0
		for _, known := range suspected.strikes {
			if crashed := d.crashes[known.incarnation]; crashed == nil || !crashed.sections[by] {
				unexplained++
			}
		}
		if unexplained < min(c.strikes, suspectStrikes) {
			released = append(released, section)
		}
	}
	for _, section := range released {
		d.Release(section)
	}
	return released
}

// mostLikely returns the section to convict next, if there is one.
func (d *Detector) mostLikely(now time.Time) (string, bool) {
	best, found := "", false
	for section, suspected := range d.sections {
		if d.Convicted(section) {
			continue
		}
		suspected.expire(now)
		if (suspected.count() >= d.threshold(section) || d.overwhelming(section, now)) && (!found || d.likelier(section, best)) {
			best, found = section, true
		}
	}
	if !found || d.onParole(best) || d.overwhelming(best, now) {
		return best, found
	}
	return best, !d.hasRival(best)
}

// overwhelming reports whether the evidence against a section suffices although another one may be as likely: enough consecutive
// strikes, or a suspect that was pending at as many crashes and that no answer has cleared for a while. While most runners are
// down, no answer can clear either of the two.
func (d *Detector) overwhelming(section string, now time.Time) bool {
	suspected := d.sections[section]
	count := suspected.count()
	if count >= decideStrikes {
		return true
	}
	return count >= suspectStrikes && d.crashCount(section) >= decideStrikes &&
		now.Sub(suspected.strikes[len(suspected.strikes)-1].at) >= decideDelay
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

// likelier reports whether a rather than b crashes runners: a former convict, the section pending at more crashes, or with
// more consecutive strikes, or else the one that is later in the prompt, as fewer sound requests share it.
func (d *Detector) likelier(a, b string) bool {
	x, y := d.sections[a], d.sections[b]
	if paroled := d.onParole(a); paroled != d.onParole(b) {
		return paroled
	}
	if m, n := d.crashCount(a), d.crashCount(b); m != n {
		return m > n
	}
	if m, n := x.count(), y.count(); m != n {
		return m > n
	}
	if x.depth != y.depth {
		return x.depth > y.depth
	}
	return a < b
}

// hasRival reports whether another suspect was pending at most of a section's crashes and at almost as many in all. An answer
// that clears one of the two may still be on its way.
func (d *Detector) hasRival(section string) bool {
	crashes := d.crashCount(section)
	for other, rival := range d.sections {
		if other == section || d.Convicted(other) || rival.count() < suspectStrikes || d.crashCount(other)+clearLead <= crashes {
			continue
		}
		shared := 0
		for _, known := range d.sections[section].strikes {
			if d.pendingAt(other, known.incarnation) {
				shared++
			}
		}
		if 2*shared > len(d.sections[section].strikes) {
			return true
		}
	}
	return false
}

// crashCount returns the number of crashes at which a section was pending, without those before it was known to be sound.
func (d *Detector) crashCount(section string) int {
	count := 0
	for incarnation := range d.crashes {
		if d.pendingAt(section, incarnation) {
			count++
		}
	}
	return count
}

// pendingAt reports whether a section may have caused the crash of an incarnation.
func (d *Detector) pendingAt(section string, incarnation Incarnation) bool {
	c := d.crashes[incarnation]
	return c != nil && !c.explained && !c.alive() && c.sections[section] && c.at.After(d.sections[section].soundAt)
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
