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
		s, ok := d.mostLikely(now)
		if !ok {
			return convicted, released
		}
		released = append(released, d.releaseExplained(s.section)...)
		d.sentence(s.section, conviction{
			at:      now,
			stage:   s.stage,
			strikes: d.threshold(s.section),
		})
		convicted = append(convicted, s.section)
	}
}

// releaseExplained releases the convicted sections whose crashes are explained by a section that is convicted now.
func (d *Detector) releaseExplained(by string) (released []string) {
	for section, c := range d.convicted {
		suspected := d.suspicions[suspectAt(section, c.stage)]
		if c.strikes == 0 || suspected == nil {
			continue
		}
		unexplained := 0
		for _, known := range suspected.strikes {
			if crashed := d.crashes[known.incarnation]; crashed == nil || !crashed.has(by) {
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

// mostLikely returns the suspect to convict next, if there is one.
func (d *Detector) mostLikely(now time.Time) (suspect, bool) {
	var best suspect
	found := false
	for s, suspected := range d.suspicions {
		if d.Convicted(s.section) {
			continue
		}
		suspected.expire(now)
		if (suspected.count() >= d.threshold(s.section) || d.overwhelming(s, now)) && (!found || d.likelier(s, best, now)) {
			best, found = s, true
		}
	}
	if !found || d.onParole(best.section) || d.overwhelming(best, now) {
		return best, found
	}
	return best, !d.hasRival(best, now)
}

// overwhelming reports whether the evidence against a suspect suffices although another one may be as likely: enough consecutive
// strikes, or two of them if it was pending at as many crashes and no answer has cleared it for a while. While most runners are
// down, no answer can clear either of the two.
func (d *Detector) overwhelming(s suspect, now time.Time) bool {
	suspected := d.suspicions[s]
	count := suspected.count()
	if count >= decideStrikes {
		return true
	}
	return count >= suspectStrikes && d.crashCount(s, now) >= decideStrikes &&
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
// more consecutive strikes, or else the one that is later in the prompt, as fewer sound requests share it. Crashes whose strikes may
// not all have arrived don't count in that.
func (d *Detector) likelier(a, b suspect, now time.Time) bool {
	settled := now.Add(-timingError)
	x, y := d.suspicions[a], d.suspicions[b]
	if paroled := d.onParole(a.section); paroled != d.onParole(b.section) {
		return paroled
	}
	if m, n := d.crashCount(a, settled), d.crashCount(b, settled); m != n {
		return m > n
	}
	if m, n := x.countUntil(settled), y.countUntil(settled); m != n {
		return m > n
	}
	if x.depth != y.depth {
		return x.depth > y.depth
	}
	if a.section != b.section {
		return a.section < b.section
	}
	return a.stage < b.stage
}

// hasRival reports whether another section was pending at most of a suspect's crashes and at almost as many in all. An answer
// that clears one of the two may still be on its way.
func (d *Detector) hasRival(s suspect, now time.Time) bool {
	crashes, strikes := d.crashCount(s, now), d.suspicions[s].strikes
	for other, rival := range d.suspicions {
		if other.section == s.section || d.Convicted(other.section) || rival.count() < suspectStrikes || d.crashCount(other, now)+clearLead <= crashes {
			continue
		}
		shared := 0
		for _, known := range strikes {
			if d.pendingAt(other, known.incarnation) {
				shared++
			}
		}
		if 2*shared > len(strikes) {
			return true
		}
	}
	return false
}

// crashCount returns the number of crashes until a time at which a suspect was pending, without those before it was known to be sound.
func (d *Detector) crashCount(s suspect, until time.Time) int {
	count := 0
	for incarnation, c := range d.crashes {
		if !c.at.After(until) && d.pendingAt(s, incarnation) {
			count++
		}
	}
	return count
}

// pendingAt reports whether a suspect may have caused the crash of an incarnation.
func (d *Detector) pendingAt(s suspect, incarnation Incarnation) bool {
	c := d.crashes[incarnation]
	return c != nil && !c.explained && !c.alive() && c.suspects[s] && c.at.After(d.suspicions[s].soundAt)
}

func (d *Detector) sentence(section string, c conviction) {
	d.convicted[section] = c
	delete(d.paroled, section)
	for incarnation, crashed := range d.crashes {
		if crashed.has(section) {
			crashed.explained = true
			d.dropStrikes(incarnation, crashed)
		}
	}
}

// dropStrikes drops the strikes at an incarnation of all sections that are not convicted.
func (d *Detector) dropStrikes(incarnation Incarnation, c *crash) {
	for s := range c.suspects {
		if suspected := d.suspicions[s]; suspected != nil && !d.Convicted(s.section) {
			suspected.drop(incarnation)
		}
	}
}
