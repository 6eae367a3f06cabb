package shedding

import (
	"math"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/patience"
)

const (
	// delayShare is the share of the objective for which a request is delayed at most; the rest is for the runner's queue.
	delayShare = 0.6
	// delaySteps is the number of times that a request is looked at again within its objective.
	delaySteps = 24
	// minDelay and maxDelay bound the time between two looks; minAllowed is the least time for which delaying is worth it.
	minDelay   = 50 * time.Millisecond
	maxDelay   = 250 * time.Millisecond
	minAllowed = 150 * time.Millisecond
	// patientFree and otherFree are the shares of the slots that are kept free of less urgent requests if all other work is more
	// urgent, since an urgent request that finds all slots in use waits for the first to become free. They are reduced to the share
	// of the more urgent work. patientFree holds for requests that can be delayed for patientDelay.
	patientDelay = time.Second
	patientFree  = 0.4
	otherFree    = 0.12
	// reserve is the share of the capacity that is expected to become free for delayed requests even if there is none now. It
	// limits how many are delayed, since each of them must be sent in the end.
	reserve = 0.05
	// unknownReserve is the share of its own demand that a VM expects to become free while it doesn't know that of all.
	unknownReserve = 0.2
)

// plan is what a rank gets of a model's capacity.
type plan struct {
	// share is the share of the requests of the size class that may be sent.
	share float64
	// patient is set unless the expected wait is too long for the objective.
	patient bool
	// held is set if the request should be delayed, but sent if that isn't possible.
	held bool
	// wait is the expected wait of the rank.
	wait time.Duration
	// relief is how long it takes until there may be more capacity.
	relief time.Duration
	// released is the work per second that this VM expects to send of the rank, infinite if it isn't known.
	released float64
}

// blended returns the mix of a model's requests, complemented by that of the service's; the caller holds the lock.
func (s *Shedder) blended(service *serviceState, model *modelState) *mix {
	s.blend = service.mix
	s.blend.scale(serviceWeight / max(service.mix.arrived(), serviceWeight))
	s.blend.add(&model.mix)
	return &s.blend
}

// plan distributes the capacity in the order of rank; the caller holds the lock.
func (s *Shedder) plan(service *serviceState, model *modelState, r *Request, supply Supply) plan {
	blend := s.blended(service, model)
	sentShare := blend.sentShare(r.Rank)
	wait := rankWait(supply, sentShare)
	p := plan{
		share:    1,
		patient:  r.First || patience.WorthSending(wait, r.Objective),
		wait:     wait,
		relief:   supply.Relief,
		released: math.Inf(1),
	}
	arrived := blend.arrived()
	above := blend.askedWork(r.Rank)
	usable := math.Inf(1)
	if above > 0 {
		usable = (1 - r.freeSlots()*blend.sentShare(r.Rank-1)) * supply.Slots
	}
	if math.IsInf(supply.Throughput, 1) {
		return p
	}
	if supply.Demand <= 0 || arrived == 0 {
		// Without the demand, the present load alone shows whether there is capacity.
		p.patient = r.First || patience.WorthSending(supply.Wait, r.Objective)
		p.held = r.allowedDelay() >= patientDelay && supply.Occupied > usable
		p.released = unknownReserve * model.mix.askedWork(ranks) / modelTimeConstant.Seconds()
		return p
	}
	perRequest := service.servedWork
	if perRequest == 0 {
		perRequest = blend.meanWork()
	}
	// Runners begin more urgent requests first, so less urgent ones at them don't count.
	room := min(supply.Capacity-sentShare*supply.Occupied, usable-supply.Occupied)
	admissible := (supply.Throughput + room/admissionInterval) * perRequest
	if r.First {
		admissible *= firstMargin
	}
	// The mix of this VM stands for the mix of all.
	perCount := supply.Demand / arrived
	left := admissible - perCount*above
	p.share = blend.ranks[r.Rank].fill(left/perCount, sizeClass(r.Work))
	ownPart := min(model.mix.arrived()/modelTimeConstant.Seconds()/supply.Demand, 1)
	p.released = max(left, reserve*supply.Throughput*perRequest) * ownPart
	return p
}

// rankWait returns the expected wait of a rank, given the share of the requests at the runners that is as urgent or more.
func rankWait(supply Supply, share float64) time.Duration {
	if supply.Throughput <= 0 || math.IsInf(supply.Throughput, 1) {
		return supply.Wait
	}
	overtaken := (1 - share) * supply.Occupied / supply.Throughput
	return max(supply.Wait-time.Duration(overtaken*float64(time.Second)), 0)
}

// freeSlots returns the share of the slots that would be kept free of the request if all other work were more urgent.
func (r *Request) freeSlots() float64 {
	if r.allowedDelay() >= patientDelay {
		return patientFree
	}
	return otherFree
}

// allowedDelay returns for how long a request may be delayed in all: a part of its objective, and no longer than leaves half of its
// time for the response.
func (r *Request) allowedDelay() time.Duration {
	allowed := time.Duration(delayShare * float64(r.Objective))
	if r.Left > 0 {
		allowed = min(allowed, (r.Left+r.Waited)/2)
	}
	return allowed
}

// weight returns how strongly a request asks for capacity: the longer it was delayed, the more.
func (r *Request) weight() float64 {
	if allowed := r.allowedDelay(); r.Waited > 0 && allowed > 0 {
		return 1 + min(float64(r.Waited)/float64(allowed), 1)
	}
	return 1
}

// mayDelay reports whether a new request may be delayed: together with those delayed before, it must be expected to be sent in time.
// A VM whose part is less than one request delays one with a probability, since all VMs together would otherwise delay too many.
func (s *Shedder) mayDelay(model *modelState, r *Request, p plan, random float64) bool {
	allowed := r.allowedDelay()
	if allowed < minAllowed || s.delayed >= maxDelayed {
		return false
	}
	return model.delayedWork[r.Rank]+random*r.Work <= p.released*allowed.Seconds()
}

// delayStep returns the time until a delayed request is looked at again, spread so that delayed requests don't ask together.
func delayStep(r *Request, random float64) time.Duration {
	mean := min(max(r.Objective/delaySteps, minDelay), maxDelay)
	return time.Duration(float64(mean) * (0.5 + random))
}
