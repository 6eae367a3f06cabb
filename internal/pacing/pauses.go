package pacing

import (
	"maps"
	"math"
	"time"
)

const (
	// The buckets begin at shortestPause, and each is 2^(1/bucketsPerOctave) as wide as the one before; the last one is open. The
	// first one also takes shorter pauses, the last one those of over 30 s.
	buckets          = 36
	bucketsPerOctave = 3
	shortestPause    = 10 * time.Millisecond
	// usualPace is the figure at which work takes the usual time.
	usualPace = 100
	// sampleWeight is the weight of the newest stream in a histogram, which so remembers about 400 streams.
	sampleWeight = 1.0 / 400
	// priorWeight is the number of streams that weigh as much as what the histogram falls back to.
	priorWeight = 20
	// priorShare is the share of streams assumed to pause for too long at a runner of the usual pace before any ended. It only has to
	// tell fast runners from slow ones until then.
	priorShare = 0.1
	// routeTTL is how long the histogram of a route without streams is kept.
	routeTTL = time.Hour
)

// histogram is a decaying distribution of the longest pauses of streams, relative to what is usual.
type histogram struct {
	counts    [buckets]float64
	total     float64
	updatedAt time.Time
}

// bucket returns the index of a pause, with its position within the bucket as the fraction.
func bucket(pause float64) float64 {
	if pause <= shortestPause.Seconds() {
		return 0
	}
	return min(bucketsPerOctave*math.Log2(pause/shortestPause.Seconds()), buckets-1)
}

func (h *histogram) add(pause float64, now time.Time) {
	for i := range h.counts {
		h.counts[i] *= 1 - sampleWeight
	}
	h.counts[int(bucket(pause))]++
	h.total = h.total*(1-sampleWeight) + 1
	h.updatedAt = now
}

// longer returns how many streams had a pause that is longer than that of a position.
func (h *histogram) longer(position float64) float64 {
	first := int(position)
	sum := h.counts[first] * (1 - (position - float64(first)))
	for _, count := range h.counts[first+1:] {
		sum += count
	}
	return sum
}

type serviceRoute struct {
	service string
	route   string
}

// Pauses learns how long streams pause and predicts which will pause for too long.
type Pauses struct {
	routes   map[serviceRoute]*histogram
	services map[string]*histogram
}

// NewPauses returns a predictor that has seen no stream.
func NewPauses() *Pauses {
	return &Pauses{
		routes:   make(map[serviceRoute]*histogram),
		services: make(map[string]*histogram),
	}
}

// Record records the longest pause of a stream that ended, at a runner of a known pace.
func (p *Pauses) Record(service, route string, longest time.Duration, pace int, now time.Time) {
	if pace <= 0 {
		return
	}
	usual := longest.Seconds() * usualPace / float64(pace)
	key := serviceRoute{
		service: service,
		route:   route,
	}
	if p.routes[key] == nil {
		p.routes[key] = &histogram{}
	}
	if p.services[service] == nil {
		p.services[service] = &histogram{}
	}
	p.routes[key].add(usual, now)
	p.services[service].add(usual, now)
}

// Prune drops the histograms of routes without recent streams, such as those that the configuration no longer has.
func (p *Pauses) Prune(now time.Time) {
	maps.DeleteFunc(p.routes, func(_ serviceRoute, h *histogram) bool { return now.Sub(h.updatedAt) >= routeTTL })
	maps.DeleteFunc(p.services, func(_ string, h *histogram) bool { return now.Sub(h.updatedAt) >= routeTTL })
}

// Prediction predicts the pauses of the streams of one route. The zero value predicts that none is too long.
type Prediction struct {
	route   *histogram
	service *histogram
	limit   time.Duration
	// pace and share are those of the last call.
	pace  int
	share float64
}

// Predict returns the prediction for the streams of a route that must not pause for longer than the limit.
func (p *Pauses) Predict(service, route string, limit time.Duration) Prediction {
	return Prediction{
		route: p.routes[serviceRoute{
			service: service,
			route:   route,
		}],
		service: p.services[service],
		limit:   limit,
	}
}

// LateShare returns the share of streams that would pause for too long at a runner of the given pace. With few streams, the share of a
// route approaches that of the service, and that of the service priorShare at the usual pace.
func (p *Prediction) LateShare(pace int) float64 {
	if p.limit <= 0 || pace <= 0 {
		return 0
	}
	if pace == p.pace {
		return p.share
	}
	position := bucket(p.limit.Seconds() * usualPace / float64(pace))
	share := min(priorShare*float64(pace)/usualPace, 1)
	if p.service != nil {
		share = (p.service.longer(position) + priorWeight*share) / (p.service.total + priorWeight)
	}
	if p.route != nil {
		share = (p.route.longer(position) + priorWeight*share) / (p.route.total + priorWeight)
	}
	p.pace, p.share = pace, share
	return share
}
