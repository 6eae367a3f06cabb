package burn

import "time"

const (
	bucketWidth = 10 * time.Second
	// MaxWindow is the longest supported window.
	MaxWindow = 6 * time.Hour

	bucketCount = int(MaxWindow/bucketWidth) + 1
)

// Count is the number of calls that ended, and of those that missed their objective.
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

// BadShare returns the fraction of calls that missed their objective, or 0 if there were no calls.
func (c Count) BadShare() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total)
}

// windowCounter is a ring buffer of counts, one for each interval of bucketWidth.
type windowCounter struct {
	bucketIDs [bucketCount]int64
	counts    [bucketCount]Count
}

func bucketIDOf(at time.Time) int64 { return at.UnixNano() / int64(bucketWidth) }

func (c *windowCounter) add(at time.Time, good bool) {
	id := bucketIDOf(at)
	i := int(id % int64(bucketCount))
	if c.bucketIDs[i] != id {
		c.bucketIDs[i] = id
		c.counts[i] = Count{}
	}
	c.counts[i].Total++
	if !good {
		c.counts[i].Bad++
	}
}

func (c *windowCounter) sum(now time.Time, window time.Duration) Count {
	last := bucketIDOf(now)
	first := last - int64(window/bucketWidth) + 1
	var sum Count
	for i, id := range c.bucketIDs {
		if id >= first && id <= last {
			sum = sum.Plus(c.counts[i])
		}
	}
	return sum
}
