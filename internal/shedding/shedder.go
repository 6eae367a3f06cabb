package shedding

import (
	"math"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/patience"
)

const (
	// modelTimeConstant is the time constant of a model's mix, which must show a burst of a few seconds.
	modelTimeConstant = 2 * time.Second
	// serviceTimeConstant is that of a service's mix, which stands in where this VM gets few requests for a model.
	serviceTimeConstant = 20 * time.Second
	// serviceWeight is the number of a model's requests that the service's mix weighs as much as.
	serviceWeight = 8
	// admissionInterval is the time in which an excess at the runners is to be worked off, as in loadbalance.
	admissionInterval = 1.5
	// firstMargin is how much more than the estimated capacity the most urgent rank may use: a wrong refusal costs most there.
	firstMargin = 1.1
	// servedWeight is the weight of the newest served request in the means of work and time.
	servedWeight = 0.15
	// deadlineDivisor is what the expected duration is divided by before a request is refused because of its deadline: the duration
	// is expected from the maximum of tokens, which many responses don't use up.
	deadlineDivisor = 2
	// maxModels limits the models whose mix is kept, some 4 KB each; the one that was requested least recently is dropped.
	maxModels = 256
	// maxDelayed limits the requests that are delayed at a time, which occupy memory.
	maxDelayed = 256
)

// Shedder decides on the requests of one VM; it is safe for concurrent use.
type Shedder struct {
	mu       sync.Mutex
	models   map[modelKey]*modelState
	services map[string]*serviceState
	// delayed is the number of requests that are delayed.
	delayed int
	// blend is the memory of a decision.
	blend mix
}

type modelKey struct{ service, model string }

// modelState is what is known of a model's requests; delayedWork is the work of those that are delayed, by rank.
type modelState struct {
	mix         mix
	delayedWork [ranks]float64
	usedAt      time.Time
}

// serviceState is what is known of a service's requests. servedWork and servedSeconds are means over the requests answered.
type serviceState struct {
	mix           mix
	order         order
	servedWork    float64
	servedSeconds float64
}

// New returns a shedder that has seen no request.
func New() *Shedder {
	return &Shedder{
		models:   make(map[modelKey]*modelState),
		services: make(map[string]*serviceState),
	}
}

// Decide decides on a request that has just arrived or whose delay is over; random returns numbers in [0, 1). A request is refused
// only when it has just arrived. If it is delayed, Decide or Abandon must be called again.
func (s *Shedder) Decide(r Request, supply Supply, random func() float64, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Rank = min(max(r.Rank, 0), ranks-1)
	service, model := s.service(r.Service, now), s.model(r, now)
	service.mix.decay(now)
	model.mix.decay(now)
	if r.Waited > 0 {
		s.release(model, &r)
	}
	weight := r.weight()
	if r.Waited == 0 {
		model.mix.ranks[r.Rank].arrived++
		service.mix.ranks[r.Rank].arrived++
	}
	blend := s.blended(service, model)
	wait := rankWait(supply, blend.sentShare(r.Rank))
	if r.Waited == 0 && r.Left > 0 && wait+service.duration(r.Work)/deadlineDivisor > r.Left {
		return Decision{Action: Refuse, Reason: Deadline, For: retryAfter(wait, &r, random)}
	}
	model.mix.recordAsked(&r, weight)
	service.mix.recordAsked(&r, weight)
	plan := s.plan(service, model, &r, supply)
	service.order.decay(now)
	d := s.choose(service, model, &r, plan, random)
	if r.Waited == 0 {
		service.order.record(r.Rank, d.Action != Refuse)
	}
	switch d.Action {
	case Send:
		model.mix.ranks[r.Rank].sentWork += r.Work
		service.mix.ranks[r.Rank].sentWork += r.Work
	case Delay:
		s.delayed++
		model.delayedWork[r.Rank] += r.Work
	}
	return d
}

// choose draws the action on a request; the caller holds the lock.
func (s *Shedder) choose(service *serviceState, model *modelState, r *Request, p plan, random func() float64) Decision {
	isNew, allowed := r.Waited == 0, r.allowedDelay()
	if isNew && random() >= service.order.limit(r.Rank) {
		return Decision{Action: Refuse, Reason: Order, For: retryAfter(p.wait, r, random)}
	}
	reason := Capacity
	if !p.patient {
		reason = Wait
	}
	switch {
	case p.patient && !p.held && random() < p.share*r.weight(), !isNew && r.Waited >= allowed:
		return Decision{Action: Send}
	case !isNew || s.mayDelay(model, r, p, random()):
		return Decision{Action: Delay, Reason: reason, For: min(delayStep(r, random()), max(allowed-r.Waited, minDelay))}
	case p.held && p.patient:
		return Decision{Action: Send}
	default:
		return Decision{Action: Refuse, Reason: reason, For: retryAfter(max(p.wait-r.Objective, p.relief), r, random)}
	}
}

// Abandon records that a delayed request is no longer to be sent.
func (s *Shedder) Abandon(r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Rank = min(max(r.Rank, 0), ranks-1)
	if model, known := s.models[modelKey{service: r.Service, model: r.Model}]; known {
		s.release(model, &r)
	}
}

// release ends the delay of a request; the caller holds the lock.
func (s *Shedder) release(model *modelState, r *Request) {
	s.delayed = max(s.delayed-1, 0)
	model.delayedWork[r.Rank] = max(model.delayedWork[r.Rank]-r.Work, 0)
}

// RecordServed records the work of an answered request and how long its runner worked on it.
func (s *Shedder) RecordServed(service string, work float64, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.service(service, now)
	if state.servedWork == 0 {
		state.servedWork, state.servedSeconds = work, took.Seconds()
		return
	}
	state.servedWork += servedWeight * (work - state.servedWork)
	state.servedSeconds += servedWeight * (took.Seconds() - state.servedSeconds)
}

// duration returns how long a runner probably works on a request, 0 if that isn't known.
func (s *serviceState) duration(work float64) time.Duration {
	if s.servedWork == 0 {
		return 0
	}
	return time.Duration(work * s.servedSeconds / s.servedWork * float64(time.Second))
}

// service returns the state of a service; the caller holds the lock.
func (s *Shedder) service(name string, now time.Time) *serviceState {
	state, known := s.services[name]
	if !known {
		state = &serviceState{mix: mix{timeConstant: serviceTimeConstant, decayedAt: now}, order: order{decayedAt: now}}
		s.services[name] = state
	}
	return state
}

// model returns the state of a request's model; the caller holds the lock.
func (s *Shedder) model(r Request, now time.Time) *modelState {
	key := modelKey{service: r.Service, model: r.Model}
	state, known := s.models[key]
	if !known {
		if len(s.models) >= maxModels {
			s.dropOldest()
		}
		state = &modelState{mix: mix{timeConstant: modelTimeConstant, decayedAt: now}}
		s.models[key] = state
	}
	state.usedAt = now
	return state
}

func (s *Shedder) dropOldest() {
	var oldest modelKey
	at := time.Time{}
	for key, state := range s.models {
		if at.IsZero() || state.usedAt.Before(at) {
			oldest, at = key, state.usedAt
		}
	}
	delete(s.models, oldest)
}

// retryAfter returns the Retry-After of a request that can probably be served in the given time: at most a third of the time left.
func retryAfter(servedIn time.Duration, r *Request, random func() float64) time.Duration {
	after := patience.RetryAfter(servedIn, r.Left, random())
	if r.Left > 0 {
		after = min(after, time.Duration(math.Floor(float64(r.Left)/3)))
	}
	return after
}
