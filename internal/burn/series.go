package burn

import "time"

const (
	bucketWidth = 10 * time.Second
	// Longest is the longest window that can be asked for.
	Longest = 6 * time.Hour

	buckets = int(Longest/bucketWidth) + 1
)

// Count is how many calls ended, and how many missed their objective.
type Count struct {
	Total uint64
	Bad   uint64
}

// Plus returns the sum of two counts.
func (c Count) Plus(other Count) Count {
	return Count{
		Total: c.Total + other.Total,
		Bad:   c.Bad + other.Bad,
	}
}

// BadShare returns the part of the calls that missed, 0 for no calls.
func (c Count) BadShare() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total)
}

// series is a ring of counts, one for each interval of time.
type series struct {
	slots  [buckets]int64
	counts [buckets]Count
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(bucketWidth) }

func (s *series) add(at time.Time, good bool) {
	slot := slotOf(at)
	i := int(slot % int64(buckets))
	if s.slots[i] != slot {
		s.slots[i] = slot
		s.counts[i] = Count{}
	}
	s.counts[i].Total++
	if !good {
		s.counts[i].Bad++
	}
}

func (s *series) sum(now time.Time, window time.Duration) Count {
	last := slotOf(now)
	first := last - int64(window/bucketWidth) + 1
	var sum Count
	for i, slot := range s.slots {
		if slot >= first && slot <= last {
			sum = sum.Plus(s.counts[i])
		}
	}
	return sum
}
