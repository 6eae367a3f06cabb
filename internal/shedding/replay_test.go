package shedding_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/loadbalance"
	"github.com/cowsliparch/cowsliparch/internal/patience"
	"github.com/cowsliparch/cowsliparch/internal/shedding"
)

const (
	replayRunners, replaySlots, replayQueue = 24, 16, 16
	// tokenTime is how long a runner works per token of a request.
	tokenTime      = 3 * time.Millisecond
	figureInterval = 500 * time.Millisecond
	figureDelay    = 60 * time.Millisecond
	// serviceMean is the weight of the newest request in the mean time of a service's requests, as in dispatch.
	serviceMean = 0.15
	maxReturns  = 3
)

// kind is a kind of request; part is its part of the work at usual load.
type kind struct {
	name                string
	rank                int
	objective, deadline time.Duration
	prompt, generated   int
	weight, part        float64
}

var kinds = []kind{
	{"chat", 0, 500 * time.Millisecond, 10 * time.Second, 715, 280, 3, 0.4},
	{"parse", 1, 600 * time.Millisecond, 4 * time.Second, 383, 45, 0.6, 0.2},
	{"summary", 2, 6 * time.Second, 15 * time.Second, 715, 280, 0.39, 0.4},
}

// pattern is a load in virtual time: usual is the part of the runners' capacity that it usually needs, surge the factor for each
// kind between from and to.
type pattern struct {
	usual          float64
	surge          [3]float64
	from, to, ends time.Duration
	heavyTailed    bool
	priorityRule   bool
	withoutTotals  bool
	vms            int
}

type replayRequest struct {
	kind, vm, runner, returns int
	arrived, sent             time.Duration
	delayed                   time.Duration
	work                      float64
	result                    *outcome
}

// outcome is what became of a caller's request.
type outcome struct {
	kind           int
	work           float64
	inTime, served bool
}

type replayEvent struct {
	at time.Duration
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayVM is what one VM knows: its requests at the runners, those of others by the last figures, and its share of the decisions.
type replayVM struct {
	own, others, announced [replayRunners]int
	figuresAt              time.Duration
	demand, serviceTime    float64
	picker                 loadbalance.Picker
	shedder                *shedding.Shedder
}

type replayRunner struct {
	running int
	waiting []*replayRequest
}

// replay plays a pattern against the decisions of all VMs. Arrivals and sizes are drawn apart from all else, so that they don't
// depend on the rule.
type replay struct {
	pattern
	arrivals, random *rand.Rand
	events           replayEvents
	now              time.Duration
	vms              []*replayVM
	runners          [replayRunners]replayRunner
	attempts         int
	outcomes         []*outcome
	reasons          map[shedding.Reason]int
}

func newReplay(p pattern, seed uint64) *replay {
	r := &replay{pattern: p, arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)), reasons: map[shedding.Reason]int{}}
	for range p.vms {
		r.vms = append(r.vms, &replayVM{serviceTime: 2.4, shedder: shedding.New()})
	}
	return r
}

func (r *replay) at(at time.Duration, do func()) { heap.Push(&r.events, replayEvent{at, do}) }

func (r *replay) run() {
	for k := range kinds {
		r.scheduleArrival(k)
	}
	r.at(0, r.sendFigures)
	for len(r.events) > 0 {
		event := heap.Pop(&r.events).(replayEvent)
		r.now = event.at
		event.do()
	}
}

func (k kind) work() float64 { return shedding.Work(k.prompt, k.generated) }

func (r *replay) scheduleArrival(k int) {
	rate := r.usual * kinds[k].part * replayRunners * replaySlots / tokenTime.Seconds() / kinds[k].work()
	if r.now >= r.from && r.now < r.to {
		rate *= r.surge[k]
	}
	r.at(r.now+time.Duration(r.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now >= r.ends {
			return
		}
		request := &replayRequest{kind: k, arrived: r.now, work: kinds[k].work()}
		if r.heavyTailed {
			const sigma = 1.0
			request.work *= min(math.Exp(sigma*r.arrivals.NormFloat64()-sigma*sigma/2), 8)
		}
		request.result = &outcome{kind: k, work: request.work}
		r.outcomes = append(r.outcomes, request.result)
		r.ask(request)
		r.scheduleArrival(k)
	})
}

// ask handles a request at a random VM.
func (r *replay) ask(request *replayRequest) {
	request.vm, request.delayed = r.random.IntN(len(r.vms)), 0
	r.attempts++
	r.decide(request)
}

func (r *replay) decide(request *replayRequest) {
	vm, k := r.vms[request.vm], kinds[request.kind]
	var candidates []loadbalance.Candidate
	for i := range replayRunners {
		candidates = append(candidates, loadbalance.Candidate{
			Base: 5 * time.Millisecond, Own: vm.own[i], Others: vm.others[i], Age: r.now - vm.figuresAt, Slots: replaySlots,
			ServiceTime: time.Duration(vm.serviceTime * float64(time.Second)),
		})
	}
	i, wait := vm.picker.Pick(candidates, r.random.Float64())
	left := request.arrived + k.deadline - r.now
	limit := kinds[0].objective
	var d shedding.Decision
	if r.priorityRule {
		d.Action = shedding.Send
		if k.rank > 0 && (!patience.WorthSending(wait, k.objective) || r.random.Float64() >= vm.picker.Admit(limit, vm.demand)) {
			d = shedding.Decision{Action: shedding.Refuse, For: patience.RetryAfter(wait-k.objective, left, r.random.Float64())}
		}
	} else {
		supply := vm.picker.Supply(limit)
		d = vm.shedder.Decide(shedding.Request{
			Service: "s", Model: "m", Rank: k.rank, First: k.rank == 0, Objective: k.objective, Left: left, Waited: request.delayed, Work: request.work,
		}, shedding.Supply{
			Wait: wait, Throughput: supply.Throughput, Occupied: supply.Occupied, Capacity: supply.Capacity, Slots: supply.Slots, Demand: vm.demand,
		}, r.random.Float64, time.Time{}.Add(r.now))
		r.reasons[d.Reason]++
	}
	switch d.Action {
	case shedding.Delay:
		request.delayed += d.For
		r.at(r.now+d.For, func() { r.decide(request) })
	case shedding.Refuse:
		r.refuse(request, d.For)
	default:
		request.runner, request.sent = i, r.now
		vm.own[i]++
		r.at(r.now+2*time.Millisecond, func() { r.reach(request) })
	}
}

// refuse asks a caller to come back.
func (r *replay) refuse(request *replayRequest, after time.Duration) {
	if request.returns < maxReturns && r.now+after < request.arrived+kinds[request.kind].deadline {
		request.returns++
		r.at(r.now+after, func() { r.ask(request) })
	}
}

// reach handles a request at its runner, which begins more urgent ones first.
func (r *replay) reach(request *replayRequest) {
	runner := &r.runners[request.runner]
	if len(runner.waiting) >= replayQueue {
		r.vms[request.vm].own[request.runner]--
		r.refuse(request, patience.RetryAfter(0, request.arrived+kinds[request.kind].deadline-r.now, r.random.Float64()))
		return
	}
	at := slices.IndexFunc(runner.waiting, func(other *replayRequest) bool { return kinds[other.kind].rank > kinds[request.kind].rank })
	if at < 0 {
		at = len(runner.waiting)
	}
	runner.waiting = slices.Insert(runner.waiting, at, request)
	r.begin(runner)
}

func (r *replay) begin(runner *replayRunner) {
	for runner.running < replaySlots && len(runner.waiting) > 0 {
		request := runner.waiting[0]
		runner.waiting = runner.waiting[1:]
		k, vm := kinds[request.kind], r.vms[request.vm]
		if r.now > request.arrived+k.deadline {
			vm.own[request.runner]--
			continue
		}
		runner.running++
		took := time.Duration(request.work * float64(tokenTime) * (0.7 + 0.6*r.random.Float64()))
		request.result.inTime = r.now+50*time.Millisecond <= request.arrived+k.objective
		request.result.served = r.now+50*time.Millisecond <= request.arrived+k.deadline
		r.at(r.now+took, func() {
			runner.running--
			vm.own[request.runner]--
			vm.serviceTime += serviceMean * (took.Seconds() - vm.serviceTime)
			vm.shedder.RecordServed("s", request.work, took, time.Time{}.Add(r.now))
			r.begin(runner)
		})
	}
}

// sendFigures delivers the requests of all VMs at the runners, and the demand, to every VM.
func (r *replay) sendFigures() {
	var totals [replayRunners]int
	for _, vm := range r.vms {
		for i, n := range vm.own {
			vm.announced[i] = n
			totals[i] += n
		}
	}
	demand := float64(r.attempts) / figureInterval.Seconds()
	r.attempts = 0
	r.at(r.now+figureDelay, func() {
		for _, vm := range r.vms {
			vm.figuresAt = r.now
			for i := range totals {
				vm.others[i] = totals[i] - vm.announced[i]
			}
			if !r.withoutTotals {
				vm.demand = demand
			}
		}
	})
	if r.now < r.ends {
		r.at(r.now+figureInterval, r.sendFigures)
	}
}
