package quarantine

import (
	"slices"
	"time"
)

// suspicion is what is held against one suspect.
type suspicion struct {
	// strikes has at most one strike for each incarnation, the earliest first.
	strikes []strike
	// soundAt is until when the section is known to be sound.
	soundAt time.Time
	// depth is the section's greatest position in a prompt.
	depth int
}

// strike is a strike of one section.
type strike struct {
	incarnation Incarnation
	sentAt      time.Time
	at          time.Time
}

// add adds a strike unless the section has been sound since. Of two at one incarnation, the request sent last counts.
func (s *suspicion) add(evidence Strike, depth int) {
	s.depth = max(s.depth, depth)
	if !evidence.At.After(s.soundAt) {
		return
	}
	added := strike{
		incarnation: evidence.Incarnation,
		sentAt:      evidence.SentAt,
		at:          evidence.At,
	}
	for i, known := range s.strikes {
		if known.incarnation == added.incarnation {
			if added.sentAt.After(known.sentAt) {
				s.strikes[i].sentAt = added.sentAt
			}
			return
		}
	}
	at, _ := slices.BinarySearchFunc(s.strikes, added, func(a, b strike) int { return a.at.Compare(b.at) })
	s.strikes = slices.Insert(s.strikes, at, added)
	if len(s.strikes) > maxStrikes {
		s.dropRedundant()
	}
}

// count returns the number of consecutive strikes.
func (s *suspicion) count() int { return len(s.consecutive()) }

// countUntil returns the number of consecutive strikes until a time.
func (s *suspicion) countUntil(until time.Time) int {
	count := 0
	for _, i := range s.consecutive() {
		if !s.strikes[i].at.After(until) {
			count++
		}
	}
	return count
}

// consecutive returns the indices of the strikes that count: each is of a request sent once the one before had broken off, and
// broke off later itself, so that one fault of many runners or connections counts once.
func (s *suspicion) consecutive() []int {
	var counted []int
	var last time.Time
	for i, candidate := range s.strikes {
		if len(counted) == 0 || (!candidate.sentAt.Before(last) && candidate.at.After(last.Add(timingError))) {
			counted = append(counted, i)
			last = candidate.at
		}
	}
	return counted
}

// dropRedundant drops the oldest strike that does not count, or else the oldest one.
func (s *suspicion) dropRedundant() {
	oldest := 0
	for i, counted := range s.consecutive() {
		if i != counted {
			oldest = i
			break
		}
	}
	s.strikes = slices.Delete(s.strikes, oldest, oldest+1)
}

// clear drops the strikes up to a time until which the section is known to be sound.
func (s *suspicion) clear(soundAt time.Time) {
	if soundAt.After(s.soundAt) {
		s.soundAt = soundAt
	}
	s.expire(soundAt.Add(strikeTTL))
}

// expire drops the strikes that are older than their lifetime.
func (s *suspicion) expire(now time.Time) {
	oldest := now.Add(-strikeTTL)
	s.strikes = slices.DeleteFunc(s.strikes, func(known strike) bool { return !known.at.After(oldest) })
}

// drop drops the strike at an incarnation.
func (s *suspicion) drop(incarnation Incarnation) {
	s.strikes = slices.DeleteFunc(s.strikes, func(known strike) bool { return known.incarnation == incarnation })
}

// changedAt returns the time of the newest evidence.
func (s *suspicion) changedAt() time.Time {
	if n := len(s.strikes); n > 0 && s.strikes[n-1].at.After(s.soundAt) {
		return s.strikes[n-1].at
	}
	return s.soundAt
}
