package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	paceSlots = 16
	// pauseScale and pauseShape are those of the Pareto distribution of the pauses between events at the usual pace, with which the
	// shares of streams with a pause of over 200 ms are near those of a trace of such a fleet.
	pauseScale = 15 * time.Millisecond
	pauseShape = 2.4
	// spellTime is how long slow spells last, spellFactor how much slower runners are then, and spellShare how much of the time they
	// take.
	spellTime   = 600 * time.Millisecond
	spellFactor = 2.5
	spellShare  = 0.15
	// usageDelay is how long a message between VMs takes, usageEvery the time between two reports of a VM.
	usageDelay = 60 * time.Millisecond
	usageEvery = 200 * time.Millisecond
)

// paceRoute is a route of the replayed fleet; all have the same target of pauses.
type paceRoute struct {
	name      string
	events    int
	objective time.Duration
	share     float64
}

var paceRoutes = []paceRoute{
	{name: "long", events: 35, objective: 400 * time.Millisecond, share: 0.4},
	{name: "night", events: 35, objective: 1500 * time.Millisecond, share: 0.1},
	{name: "short", events: 6, objective: 1200 * time.Millisecond, share: 0.5},
}

// pacePattern is a load on the runners of a service whose machines differ in speed.
type pacePattern struct {
	vms, runners, models, modelsPerRunner int
	perSecond                             float64
	duration, warmUp                      time.Duration
	// reportsFigures makes runners send the fourth figure.
	reportsFigures bool
	// evenPaces makes all machines as fast as usual.
	evenPaces bool
	// holderLostAt is when the holder is replaced by another VM, 0 for never.
	holderLostAt time.Duration
}

var paceFleet = pacePattern{
	vms:             40,
	runners:         90,
	models:          72,
	modelsPerRunner: 3,
	perSecond:       270,
	duration:        50 * time.Second,
	warmUp:          20 * time.Second,
}

// paceResult counts the streams after the warm-up by route.
type paceResult struct {
	streams, paused, lateFirst map[string]int
	byPace                     map[int]int
}

func (r paceResult) share(counts map[string]int, route string) float64 {
	return float64(counts[route]) / float64(r.streams[route])
}

// total returns the share of the counted streams among those of all routes.
func (r paceResult) total(counts map[string]int) float64 {
	counted, streams := 0, 0
	for _, route := range paceRoutes {
		counted += counts[route.name]
		streams += r.streams[route.name]
	}
	return float64(counted) / float64(streams)
}

func (r paceResult) String() string {
	text := ""
	for _, route := range paceRoutes {
		text += fmt.Sprintf("%s: %d, paused %.3f, late first event %.3f; ", route.name, r.streams[route.name],
			r.share(r.paused, route.name), r.share(r.lateFirst, route.name))
	}
	return text + fmt.Sprintf("by pace %v", r.byPace)
}

// pacedRunner is a runner on a machine of a constant pace, with slow spells.
type pacedRunner struct {
	id      string
	pace    int
	running int
	waiting []func()
	// spells tells for each period of spellTime whether it is a slow spell.
	spells []bool
}

// figure returns how long work takes at a time, in percent.
func (r *pacedRunner) figure(at time.Duration) int {
	if r.spells[int(at/spellTime)%len(r.spells)] {
		return int(spellFactor * float64(r.pace))
	}
	return r.pace
}

type paceReplay struct {
	pacePattern
	random   *rand.Rand
	arrivals *rand.Rand
	events   replayEvents
	now      time.Duration
	view     *roster.View
	runners  map[string]*pacedRunner
	trackers []*Tracker
	holder   int
	result   paceResult
}

func newPaceReplay(pattern pacePattern, seed uint64) *paceReplay {
	r := &paceReplay{
		pacePattern: pattern,
		random:      rand.New(rand.NewPCG(seed, 1)),
		arrivals:    rand.New(rand.NewPCG(seed, 2)),
		runners:     make(map[string]*pacedRunner),
		result: paceResult{
			streams:   make(map[string]int),
			paused:    make(map[string]int),
			lateFirst: make(map[string]int),
			byPace:    make(map[int]int),
		},
	}
	registrations := roster.New()
	placement := rand.New(rand.NewPCG(seed, 3))
	for i := range pattern.runners {
		runner := &pacedRunner{id: fmt.Sprintf("r%d", i), pace: []int{60, 100, 160}[i%3]}
		for range 2 * pattern.duration / spellTime {
			runner.spells = append(runner.spells, placement.Float64() < spellShare)
		}
		if pattern.evenPaces {
			runner.pace = 100
		}
		r.runners[runner.id] = runner
		var models []roster.LoadedModel
		for _, m := range placement.Perm(pattern.models)[:pattern.modelsPerRunner] {
			models = append(models, roster.LoadedModel{Model: fmt.Sprintf("m%d", m)})
		}
		registrations.Apply([]roster.Change{{ID: runner.id, Runner: &roster.Runner{
			ID:      runner.id,
			Service: "s",
			Slots:   paceSlots,
			Models:  models,
		}}}, start)
	}
	r.view = registrations.View()
	for range pattern.vms {
		tracker := NewTracker(RoundTrips{})
		tracker.random = r.random.Float64
		r.trackers = append(r.trackers, tracker)
	}
	return r
}

func (r *paceReplay) at(at time.Duration, do func()) {
	heap.Push(&r.events, replayEvent{at: at, do: do})
}

func (r *paceReplay) run() paceResult {
	r.arriveNext()
	r.at(0, r.shareUsage)
	if r.holderLostAt > 0 {
		r.at(r.holderLostAt, func() {
			r.trackers[r.holder] = NewTracker(RoundTrips{})
			r.trackers[r.holder].random = r.random.Float64
			r.holder++
		})
	}
	for len(r.events) > 0 {
		event := heap.Pop(&r.events).(replayEvent)
		r.now = event.at
		event.do()
	}
	return r.result
}

func (r *paceReplay) arriveNext() {
	r.at(r.now+time.Duration(r.arrivals.ExpFloat64()/r.perSecond*float64(time.Second)), func() {
		if r.now >= r.duration {
			return
		}
		// The squares prefer some models to others.
		model, vm, kind := r.arrivals.Float64(), r.arrivals.IntN(r.vms), r.arrivals.Float64()
		r.arriveNext()
		for _, route := range paceRoutes {
			if kind -= route.share; kind < 0 {
				r.serve(route, vm, fmt.Sprintf("m%d", int(model*model*float64(r.models))))
				break
			}
		}
	})
}

// serve sends a stream to the runner that its VM chooses.
func (r *paceReplay) serve(route paceRoute, vm int, model string) {
	tracker, arrived := r.trackers[vm], r.now
	pauses := pauseRequirement{route: route.name, longest: 200 * time.Millisecond, cost: 400 * time.Millisecond}
	pick := tracker.choose(r.view, requirements{service: "s", model: model, limit: 400 * time.Millisecond, pauses: pauses}, start.Add(r.now))
	if pick.runner == nil {
		return
	}
	use := roster.ModelUse{Runner: pick.runner.ID, Model: model}
	tracker.requestSent(use, start.Add(r.now))
	runner := r.runners[pick.runner.ID]
	begin := func() {
		runner.running++
		figure := runner.figure(r.now)
		first := r.now + time.Duration(figure)*time.Millisecond/2
		report := ReportedLoad{Running: runner.running, Waiting: len(runner.waiting), Slots: paceSlots}
		if r.reportsFigures {
			report.Figure = figure
		}
		r.at(first, func() { tracker.loadReported(pick.runner, report, start.Add(r.now)) })
		end, longest := first, time.Duration(0)
		for range route.events - 1 {
			pause := float64(pauseScale) * math.Pow(1-r.random.Float64(), -1/pauseShape) * float64(runner.figure(end)) / 100
			pause = min(pause, float64(2*time.Second))
			end += time.Duration(pause)
			longest = max(longest, time.Duration(pause))
		}
		r.count(route, runner, arrived, first, longest)
		began := r.now
		r.at(end, func() {
			runner.running--
			tracker.requestEnded(use)
			tracker.recordServiceTime("s", time.Duration(float64(r.now-began)/pick.paceFactor))
			tracker.recordPauses("s", pauses, longest, pick.pace, start.Add(r.now))
			if len(runner.waiting) > 0 {
				next := runner.waiting[0]
				runner.waiting = runner.waiting[1:]
				next()
			}
		})
	}
	if runner.running < paceSlots {
		begin()
	} else {
		runner.waiting = append(runner.waiting, begin)
	}
}

func (r *paceReplay) count(route paceRoute, runner *pacedRunner, arrived, first, longest time.Duration) {
	if arrived < r.warmUp {
		return
	}
	r.result.streams[route.name]++
	r.result.byPace[runner.pace]++
	if longest > 200*time.Millisecond {
		r.result.paused[route.name]++
	}
	if first-arrived > route.objective {
		r.result.lateFirst[route.name]++
	}
}

// shareUsage sends the reports of all VMs to the holder, and its totals and paces back.
func (r *paceReplay) shareUsage() {
	totals := make(roster.Occupancy)
	for vm, tracker := range r.trackers {
		totals.Add(tracker.Occupancy())
		if seen := tracker.TakeSeenPaces(start.Add(r.now)); vm == r.holder || seen != nil {
			r.at(r.now+usageDelay, func() { r.trackers[r.holder].RecordPaces(seen, start.Add(r.now)) })
		}
	}
	r.at(r.now+usageDelay, func() {
		changed := r.trackers[r.holder].TakeChangedPaces(start.Add(r.now))
		r.at(r.now+usageDelay, func() {
			for _, tracker := range r.trackers {
				tracker.ApplyOccupancy(totals, start.Add(r.now))
				tracker.ApplyPaces(changed)
			}
		})
	})
	if r.now < r.duration {
		r.at(r.now+usageEvery+time.Duration(r.vms)*2*time.Millisecond, r.shareUsage)
	}
}
