package quarantine

import (
	"slices"
	"time"
)

const (
	// baseTerm is how long a first quarantine lasts after the last request with the section; each further conviction doubles it,
	// up to maxTerm.
	baseTerm = 10 * time.Minute
	maxTerm  = time.Hour
	// maxTerms is how many terms a quarantine lasts at most although requests arrive: nothing else shows that the section is sound.
	maxTerms = 6
	// recordTTL is how long a section's record is kept after it has expired or was released.
	recordTTL = 24 * time.Hour
	// maxEntries bounds the number of records.
	maxEntries = 256
)

// Entry is the record of one section's quarantine.
type Entry struct {
	Section string
	// Convictions counts the convictions that were not refuted.
	Convictions int
	// ConvictedAt is when the newest conviction was made, ReleasedAt when one was last refuted.
	ConvictedAt time.Time
	ReleasedAt  time.Time `json:",omitzero"`
	// RequestedAt is when a request with the section last arrived.
	RequestedAt time.Time
}

// Expiry returns when the quarantine ends unless a further request arrives; it does not last longer than maxTerms terms.
func (e Entry) Expiry() time.Time {
	term := baseTerm
	for n := 1; n < e.Convictions && term < maxTerm; n++ {
		term *= 2
	}
	term = min(term, maxTerm)
	return earliest(e.RequestedAt.Add(term), e.ConvictedAt.Add(maxTerms*term))
}

// Released reports whether the newest conviction was refuted.
func (e Entry) Released() bool { return e.ReleasedAt.After(e.ConvictedAt) }

// ActiveAt reports whether the section is in quarantine.
func (e Entry) ActiveAt(now time.Time) bool { return !e.Released() && now.Before(e.Expiry()) }

// Obsolete reports whether the record is no longer needed.
func (e Entry) Obsolete(now time.Time) bool {
	return now.Sub(latest(e.Expiry(), e.ReleasedAt)) > recordTTL
}

// NotAfter returns the entry with times that are at most now, as the clock by which it was written may have been ahead.
func (e Entry) NotAfter(now time.Time) Entry {
	released := e.Released()
	e.ConvictedAt, e.RequestedAt = earliest(e.ConvictedAt, now), earliest(e.RequestedAt, now)
	if released {
		e.ReleasedAt = latest(earliest(e.ReleasedAt, now), e.ConvictedAt.Add(time.Millisecond))
	}
	return e
}

// changedAt returns when the entry last changed its meaning.
func (e Entry) changedAt() time.Time {
	if e.Released() {
		return e.ReleasedAt
	}
	return e.ConvictedAt
}

// List holds the records of the sections that were convicted. It is not safe for concurrent use.
type List struct {
	entries map[string]Entry
}

// NewList returns an empty list.
func NewList() *List {
	return &List{
		entries: make(map[string]Entry),
	}
}

// Convict records a conviction.
func (l *List) Convict(section string, now time.Time) {
	e := l.entries[section]
	if e.Released() {
		e.Convictions = 0
	}
	e.Section = section
	e.Convictions++
	e.ConvictedAt = latest(now, e.ReleasedAt.Add(time.Millisecond))
	e.RequestedAt = now
	l.put(e)
}

// Release records that the conviction of a section was refuted.
func (l *List) Release(section string, now time.Time) {
	if e, known := l.entries[section]; known {
		// The conviction may have been recorded by a VM whose clock is ahead.
		e.ReleasedAt = latest(now, e.ConvictedAt.Add(time.Millisecond))
		l.put(e)
	}
}

// Requested records that a request with the section arrived.
func (l *List) Requested(section string, now time.Time) {
	if e, known := l.entries[section]; known && now.After(e.RequestedAt) {
		e.RequestedAt = now
		l.put(e)
	}
}

// Merge adds the record of another VM and reports whether it put the section in quarantine or released it. Of two records of a
// section, the one that changed last holds.
func (l *List) Merge(e Entry, now time.Time) bool {
	known, ok := l.entries[e.Section]
	active := ok && known.ActiveAt(now)
	switch {
	case !ok:
		l.put(e)
	case e.changedAt().After(known.changedAt()) && e.Released() != known.Released():
		l.put(e)
	default:
		known.Convictions = max(known.Convictions, e.Convictions)
		if e.RequestedAt.After(known.RequestedAt) {
			known.RequestedAt = e.RequestedAt
		}
		l.put(known)
	}
	return active != l.entries[e.Section].ActiveAt(now)
}

// Entry returns the record of a section.
func (l *List) Entry(section string) (Entry, bool) {
	e, ok := l.entries[section]
	return e, ok
}

// ActiveAt reports whether a section is in quarantine.
func (l *List) ActiveAt(section string, now time.Time) bool {
	e, known := l.entries[section]
	return known && e.ActiveAt(now)
}

// Entries returns all records ordered by section, without those that are no longer needed.
func (l *List) Entries(now time.Time) []Entry {
	entries := make([]Entry, 0, len(l.entries))
	for section, e := range l.entries {
		if e.Obsolete(now) {
			delete(l.entries, section)
			continue
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Section < b.Section {
			return -1
		}
		return 1
	})
	return entries
}

// Active returns the sections in quarantine, in order.
func (l *List) Active(now time.Time) []string {
	var sections []string
	for _, e := range l.Entries(now) {
		if e.ActiveAt(now) {
			sections = append(sections, e.Section)
		}
	}
	return sections
}

func (l *List) put(e Entry) {
	l.entries[e.Section] = e
	evictOldest(l.entries, maxEntries, func(e Entry) time.Time { return latest(e.RequestedAt, e.ReleasedAt) })
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
