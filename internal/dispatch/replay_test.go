package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/patience"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// replayRunner processes as many requests at once as it has slots, and queues some more.
type replayRunner struct {
	id       string
	domain   int
	slowness float64
	running  int
	waiting  []*replayRequest
	arrivals int
	brittleRunner
}

func (r *replayRunner) inFlight() int { return r.running + len(r.waiting) }

type replayRequest struct {
	vm int
	// arrived is when the caller first tried, sent when it tried last.
	arrived  time.Duration
	sent     time.Duration
	cameBack bool
	runner   *replayRunner
	// tried lists the runners that rejected the request; start is the start of the runner that it was sent to.
	tried []string
	start int
}

// replayEvent is something that happens at a time.
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

// replay plays a pattern against the trackers of all VMs.
type replay struct {
	replayPattern
	// arrivals draws the times of arrivals, random all else, so that arrivals do not depend on what becomes of the requests.
	arrivals *rand.Rand
	random   *rand.Rand
	events   replayEvents
	now      time.Duration
	view     *roster.View
	runners  map[string]*replayRunner
	ordered  []*replayRunner
	trackers []*Tracker
	// choose returns the runner for a request of a VM, nil for none.
	choose func(request *replayRequest) (best *replayRunner, expected time.Duration, admit float64)
	result replayResult
	// attempts counts the attempts since the last totals.
	attempts int
}

func newReplay(pattern replayPattern, seed uint64) *replay {
	r := &replay{
		replayPattern: pattern,
		arrivals:      rand.New(rand.NewPCG(seed, 2)),
		random:        rand.New(rand.NewPCG(seed, 1)),
		runners:       make(map[string]*replayRunner),
	}
	registrations := roster.New()
	regions := make(map[string]string)
	for d := range pattern.domains {
		regions[fmt.Sprintf("d%d", d)] = fmt.Sprintf("region%d", d/2)
		for i := range pattern.runnersPerDomain {
			runner := &replayRunner{id: fmt.Sprintf("d%d-%d", d, i), domain: d, slowness: 1}
			if r.random.Float64() < pattern.slowShare {
				runner.slowness = 3
			}
			r.runners[runner.id] = runner
			r.ordered = append(r.ordered, runner)
			registrations.Apply([]roster.Change{{ID: runner.id, Runner: &roster.Runner{
				ID:            runner.id,
				Service:       "s",
				FailureDomain: fmt.Sprintf("d%d", d),
				Slots:         max(pattern.slots, pattern.registered),
				Models:        []roster.LoadedModel{{Model: "m"}},
			}}}, start)
		}
	}
	r.view = registrations.View()
	for vm := range pattern.vms {
		tracker := NewTracker(RoundTrips{FailureDomain: fmt.Sprintf("d%d", vm%pattern.domains), Regions: regions})
		tracker.random = r.random.Float64
		// Known from requests to other models.
		tracker.recordServiceTime("s", pattern.serviceTime)
		r.trackers = append(r.trackers, tracker)
	}
	r.choose = func(request *replayRequest) (*replayRunner, time.Duration, float64) {
		pick := r.trackers[request.vm].choose(r.view, requirements{
			service: "s",
			model:   "m",
			limit:   r.objective,
			vms:     r.assumedVMs(),
			urgent:  r.sendAll,
			tried:   request.tried,
		}, start.Add(r.now))
		if pick.runner == nil {
			return nil, pick.pause + r.objective, 1
		}
		if r.sendAll {
			return r.runners[pick.runner.ID], pick.score, 1
		}
		return r.runners[pick.runner.ID], pick.score, pick.admit
	}
	return r
}

func (r *replay) roundTrip(vm int, runner *replayRunner) time.Duration {
	return r.trackers[vm].roundTrips.RoundTrip(fmt.Sprintf("d%d", runner.domain))
}

func (r *replay) at(at time.Duration, do func()) { heap.Push(&r.events, replayEvent{at: at, do: do}) }

func (r *replay) run() replayResult {
	r.scheduleArrival()
	r.at(r.totalsInterval, r.sendTotals)
	for len(r.events) > 0 {
		event := heap.Pop(&r.events).(replayEvent)
		if event.at > r.duration+20*time.Second {
			break
		}
		r.now = event.at
		event.do()
	}
	busiest, total := 0, 0
	for _, runner := range r.ordered {
		busiest = max(busiest, runner.arrivals)
		total += runner.arrivals
	}
	r.result.busiest = float64(busiest) * float64(len(r.ordered)) / float64(total)
	return r.result
}

func (r *replay) scheduleArrival() {
	rate := r.load * float64(len(r.ordered)*r.slots) / r.serviceTime.Seconds()
	if r.surge > 0 && r.now >= r.surgeFrom && r.now < r.surgeTo {
		rate *= r.surge
	}
	r.at(r.now+time.Duration(r.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now < r.duration {
			r.arrive()
			r.scheduleArrival()
		}
	})
}

func (r *replay) arrive() {
	r.result.asked++
	r.serve(&replayRequest{arrived: r.now})
}

// serve handles an attempt of a caller at a random VM.
func (r *replay) serve(request *replayRequest) {
	request.vm = r.drawVM()
	request.sent = r.now
	r.attempts++
	r.send(request)
}

// send sends a request to a runner or refuses it.
func (r *replay) send(request *replayRequest) {
	var expected time.Duration
	var admit float64
	request.runner, expected, admit = r.choose(request)
	if request.runner == nil {
		r.refuse(request, expected-r.objective)
		return
	}
	if len(request.tried) == 0 && !r.sendAll && (!patience.WorthSending(expected, r.objective) || r.random.Float64() >= admit) {
		r.refuse(request, expected-r.objective)
		return
	}
	use := roster.ModelUse{Runner: request.runner.id, Model: "m"}
	r.trackers[request.vm].requestSent(use, start.Add(r.now))
	r.at(r.now+r.roundTrip(request.vm, request.runner)/2, func() { r.reach(request) })
}

func (r *replay) reach(request *replayRequest) {
	runner := request.runner
	runner.arrivals++
	request.start = runner.starts
	switch {
	case r.now < runner.downUntil:
		r.fail(request, nil)
	case runner.running < r.slots:
		r.begin(request)
	case len(runner.waiting) < r.queueLimit():
		runner.waiting = append(runner.waiting, request)
	default:
		r.reject(request)
	}
}

// refuse asks a caller to come back; it does so once.
func (r *replay) refuse(request *replayRequest, servedIn time.Duration) {
	left := request.arrived + r.deadline - r.now
	if request.cameBack || left <= 0 {
		r.result.refused++
		return
	}
	again := &replayRequest{arrived: request.arrived, cameBack: true}
	after := patience.RetryAfter(servedIn, left, r.random.Float64())
	if r.sendAll {
		after = 300 * time.Millisecond
	}
	r.at(r.now+after, func() { r.serve(again) })
}

// abandoned reports whether a request's caller has left before its turn came.
func (r *replay) abandoned(request *replayRequest) bool {
	return r.leaveAfter > 0 && r.now-request.sent > r.leaveAfter
}

func (r *replay) begin(request *replayRequest) {
	runner := request.runner
	runner.running++
	runner.active = append(runner.active, request)
	roundTrip := r.roundTrip(request.vm, runner)
	first := r.now + time.Duration(40+5*runner.running)*time.Millisecond + roundTrip/2
	switch {
	case r.now > r.duration:
		// What is left in the queues at the end says nothing about the time under load.
	case first-request.arrived <= r.objective:
		r.result.inTime++
	default:
		r.result.late++
	}
	report := ReportedLoad{Running: runner.running, Waiting: len(runner.waiting), Slots: r.slots}
	stated := r.tolerance()
	r.at(first, func() {
		registered, _ := r.view.Runner(runner.id)
		r.trackers[request.vm].responseReceived(registered, &Response{Brittle: stated}, start.Add(r.now))
		r.trackers[request.vm].loadReported(registered, report, start.Add(r.now))
	})
	took := time.Duration(r.random.ExpFloat64() * runner.slowness * float64(r.serviceTime))
	r.at(r.now+took, func() {
		if request.start != runner.starts {
			return
		}
		runner.running--
		runner.active = slices.DeleteFunc(runner.active, func(other *replayRequest) bool { return other == request })
		r.trackers[request.vm].recordServiceTime("s", took)
		r.end(request)
		for len(runner.waiting) > 0 && runner.running < r.slots {
			next := runner.waiting[0]
			runner.waiting = runner.waiting[1:]
			if r.abandoned(next) {
				r.result.left++
				r.end(next)
				continue
			}
			r.begin(next)
		}
	})
}

func (r *replay) end(request *replayRequest) {
	r.at(r.now+r.roundTrip(request.vm, request.runner)/2, func() {
		r.trackers[request.vm].requestEnded(roster.ModelUse{Runner: request.runner.id, Model: "m"})
	})
}
