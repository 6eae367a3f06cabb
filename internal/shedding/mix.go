package shedding

import (
	"math"
	"time"
)

const (
	// ranks is the number of ranks that are told apart; 0 is the most urgent one.
	ranks = 10
	// classes is the number of size classes of a rank. Each spans a factor of the square root of 2, the first one ends at
	// smallestWork times that.
	classes      = 20
	smallestWork = 64
	// negligible is the number of requests below which a rank counts as unused.
	negligible = 1e-6
)

// mix counts recent requests by rank and size. Its counts decay exponentially.
type mix struct {
	ranks        [ranks]rankMix
	timeConstant time.Duration
	decayedAt    time.Time
}

// rankMix counts the recent requests of a rank.
type rankMix struct {
	// arrived is the number of new requests.
	arrived float64
	// asked is the number of decisions by size class, those on delayed requests included, and askedWork their work.
	asked     [classes]float64
	askedWork [classes]float64
	// sentWork is the work of the requests sent.
	sentWork float64
}

// sizeClass returns the size class of a request.
func sizeClass(work float64) int {
	return min(max(int(2*math.Log2(max(work, 1)/smallestWork)), 0), classes-1)
}

// decay ages all counts to the given time.
func (m *mix) decay(now time.Time) {
	elapsed := now.Sub(m.decayedAt)
	if elapsed <= 0 {
		return
	}
	m.decayedAt = now
	m.scale(math.Exp(-elapsed.Seconds() / m.timeConstant.Seconds()))
}

func (m *mix) scale(factor float64) {
	for i := range m.ranks {
		r := &m.ranks[i]
		if r.arrived < negligible {
			*r = rankMix{}
			continue
		}
		r.arrived *= factor
		r.sentWork *= factor
		for class := range classes {
			r.asked[class] *= factor
			r.askedWork[class] *= factor
		}
	}
}

// add adds the counts of another mix.
func (m *mix) add(other *mix) {
	for i := range m.ranks {
		r, o := &m.ranks[i], &other.ranks[i]
		if o.arrived < negligible {
			continue
		}
		r.arrived += o.arrived
		r.sentWork += o.sentWork
		for class := range classes {
			r.asked[class] += o.asked[class]
			r.askedWork[class] += o.askedWork[class]
		}
	}
}

// recordAsked counts a decision on a request; weight is how strongly it asks for capacity, 1 for a new request.
func (m *mix) recordAsked(r *Request, weight float64) {
	counts, class := &m.ranks[r.Rank], sizeClass(r.Work)
	counts.asked[class] += weight
	counts.askedWork[class] += weight * r.Work
}

func (m *mix) arrived() float64 {
	total := 0.0
	for i := range m.ranks {
		total += m.ranks[i].arrived
	}
	return total
}

// askedWork returns the work of the ranks from the first up to, but not including, the given one.
func (m *mix) askedWork(end int) float64 {
	total := 0.0
	for i := range m.ranks[:end] {
		total += m.ranks[i].work()
	}
	return total
}

func (r *rankMix) work() float64 { return sum(&r.askedWork) }

// meanWork returns the mean work of the requests of all ranks.
func (m *mix) meanWork() float64 {
	requests := 0.0
	for i := range m.ranks {
		requests += sum(&m.ranks[i].asked)
	}
	if requests == 0 {
		return 0
	}
	return m.askedWork(ranks) / requests
}

// sentShare returns the share of the sent work that belongs to a rank or to more urgent ones, 1 if nothing was sent.
func (m *mix) sentShare(rank int) float64 {
	upTo, total := 0.0, 0.0
	for i := range m.ranks {
		total += m.ranks[i].sentWork
		if i <= rank {
			upTo = total
		}
	}
	if total == 0 {
		return 1
	}
	return upTo / total
}

func sum(values *[classes]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
