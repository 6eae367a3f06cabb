package loadbalance

import (
	"math"
	"time"
)

const (
	// requestCost is what each request at a runner adds to the expected time of the next one.
	requestCost = 6 * time.Millisecond
	// figureLag is how old figures are when they arrive.
	figureLag = 150 * time.Millisecond
	// maxAge is the age beyond which figures say no more about the present.
	maxAge = 2 * time.Second
	// levelSteps is the number of bisection steps that find the common level; the level is within a request's cost then.
	levelSteps = 10
)

// Candidate is a runner that could get a request.
type Candidate struct {
	// Base is the expected time of a request at the runner while it is idle.
	Base time.Duration
	// Penalty is added to the expected time in the choice among runners. It states a preference and is no time that a request waits.
	Penalty time.Duration
	// Own is the number of this VM's requests at the runner, Others that of the other VMs as of Age ago.
	Own    int
	Others int
	Age    time.Duration
	// Slots is how many requests the runner processes at once, or 0 if it is not known.
	Slots int
	// ServiceTime is how long a request takes at the runner.
	ServiceTime time.Duration
}

// Picker picks runners; it reuses its memory and is not safe for concurrent use.
type Picker struct {
	loads   []load
	weights []float64
}

// load is the present state of a candidate as estimated, in seconds and requests.
type load struct {
	// base includes penalty.
	base    float64
	penalty float64
	level   float64
	slots   float64
	// perRequest and perQueued are what a request adds to the time of the next one while there are free slots and beyond.
	perRequest float64
	perQueued  float64
	// figure is the number of requests by the figures, throughput how many a runner ends per second with all slots in use.
	figure     float64
	throughput float64
}

// Pick returns the index of the candidate for the next request, and the expected time there; random is in [0, 1). It returns -1
// if there is no candidate.
func (p *Picker) Pick(candidates []Candidate, random float64) (int, time.Duration) {
	if len(candidates) == 0 {
		return -1, 0
	}
	level := p.level(p.estimate(candidates))
	return p.draw(level, random), time.Duration(level * float64(time.Second))
}

// estimate computes the present loads and returns how many requests have arrived since the figures, including the next one. In a
// steady state, as many arrive as end.
func (p *Picker) estimate(candidates []Candidate) float64 {
	p.loads = p.loads[:0]
	arrivals := 1.0
	for _, c := range candidates {
		age := min(c.Age+figureLag, maxAge).Seconds()
		service := max(c.ServiceTime, time.Millisecond).Seconds()
		ended := float64(c.Others) * (1 - math.Exp(-age/service))
		arrivals += ended
		l := load{
			base:       c.Base.Seconds() + c.Penalty.Seconds(),
			penalty:    c.Penalty.Seconds(),
			level:      float64(c.Own) + float64(c.Others) - ended,
			slots:      math.Inf(1),
			perRequest: requestCost.Seconds(),
			figure:     float64(c.Own + c.Others),
		}
		if c.Slots > 0 {
			l.slots = float64(c.Slots - 1)
			l.throughput = float64(c.Slots) / service
			l.perQueued = l.perRequest + 1/l.throughput
		}
		p.loads = append(p.loads, l)
	}
	return arrivals
}

// cost returns the expected time of a request that finds the given number of others.
func (l *load) cost(requests float64) float64 {
	if requests <= l.slots {
		return l.base + requests*l.perRequest
	}
	return l.base + l.slots*l.perRequest + (requests-l.slots)*l.perQueued
}

// capacity returns how many requests fit until the expected time exceeds the given one.
func (l *load) capacity(cost float64) float64 {
	spare := max(cost-l.base, 0)
	if requests := spare / l.perRequest; requests <= l.slots {
		return requests
	}
	return l.slots + (spare-l.slots*l.perRequest)/l.perQueued
}

// room returns how many more requests fit until the expected time exceeds the given one.
func (l *load) room(cost float64) float64 { return max(l.capacity(cost)-l.level, 0) }

// level returns the expected time up to which the given number of arrivals fills the runners.
func (p *Picker) level(arrivals float64) float64 {
	low := math.Inf(1)
	for i := range p.loads {
		low = min(low, p.loads[i].cost(p.loads[i].level))
	}
	step := requestCost.Seconds()
	for p.totalRoom(low+step) < arrivals {
		low += step
		step *= 2
	}
	high := low + step
	for range levelSteps {
		if middle := (low + high) / 2; p.totalRoom(middle) < arrivals {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

func (p *Picker) totalRoom(cost float64) float64 {
	total := 0.0
	for i := range p.loads {
		total += p.loads[i].room(cost)
	}
	return total
}

// draw picks a candidate with a probability in proportion to its room up to a level.
func (p *Picker) draw(level, random float64) int {
	p.weights = p.weights[:0]
	total := 0.0
	for i := range p.loads {
		room := p.loads[i].room(level)
		total += room
		p.weights = append(p.weights, room)
	}
	left := random * total
	last := 0
	for i, weight := range p.weights {
		if weight == 0 {
			continue
		}
		last = i
		if left -= weight; left < 0 {
			break
		}
	}
	return last
}
