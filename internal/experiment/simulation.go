package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/deployment"
)

const (
	meanPromptTokens = 500
	meanAnswerTokens = 64
	callerCount      = 40
	heavyCallerShare = 0.3

	domainDelay   = 3 * time.Millisecond
	regionDelay   = 60 * time.Millisecond
	bytesPerToken = 180
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// simulation is the state of one run: engines, entry VMs, callers and a queue of events.
type simulation struct {
	run           Run
	deployment    deployment.Deployment
	random        *rand.Rand
	now           time.Duration
	events        eventQueue
	engines       []*engine
	vms           []*vm
	policy        policy
	planners      []*domainPlanner
	cutDomain     int
	storeDown     bool
	result        Result
	statsByCaller map[string]*callerStats
}

// callerStats counts the calls of one caller and those answered within the objective.
type callerStats struct {
	calls    int
	attained int
}

const noDomain = -1

func newSimulation(r Run) (*simulation, error) {
	d, err := deployment.ByName(r.Deployment)
	if err != nil {
		return nil, err
	}
	sim := &simulation{
		run:           r,
		deployment:    d,
		random:        rand.New(rand.NewPCG(r.Seed, 11)),
		cutDomain:     noDomain,
		statsByCaller: make(map[string]*callerStats),
		result:        Result{Run: r},
	}
	sim.policy = r.Policy.new(sim)
	sim.addEngines()
	sim.addVMs()
	sim.placeReplicas()
	for domain := range d.Configuration.FailureDomains {
		sim.planners = append(sim.planners, newDomainPlanner(sim, domain))
	}
	return sim, nil
}

func (sim *simulation) addEngines() {
	service, _ := sim.deployment.Configuration.Service(sim.deployment.ModelService)
	for domain, presence := range service.Presence {
		for i := range presence.Runners {
			e := &engine{
				name:     fmt.Sprintf("runner-%d-%d", domain, i),
				domain:   domain,
				spec:     sim.deployment.Engine,
				decoding: make(map[*call]bool),
			}
			e.queue.fifo = sim.policy.fifo()
			for range service.Accelerators {
				e.accelerators = append(e.accelerators, accelerator{
					capacityBytes: service.AcceleratorBytes,
					models:        make(map[string]loadedModel),
				})
			}
			sim.engines = append(sim.engines, e)
		}
	}
}

func (sim *simulation) addVMs() {
	for domain := range sim.deployment.Configuration.FailureDomains {
		for range sim.deployment.EntriesPerDomain {
			sim.vms = append(sim.vms, newVM(sim, domain))
		}
	}
}

// placeReplicas loads one replica of each model in every failure domain, on the accelerator with the most free memory.
func (sim *simulation) placeReplicas() {
	for _, model := range sim.deployment.Configuration.Models {
		bytes := sim.deployment.Configuration.ReplicaBytes(model)
		for domain := range sim.deployment.Configuration.FailureDomains {
			var best *accelerator
			for _, e := range sim.engines {
				for i := range e.accelerators {
					if e.domain == domain && (best == nil || e.accelerators[i].freeBytes() > best.freeBytes()) {
						best = &e.accelerators[i]
					}
				}
			}
			if best.freeBytes() >= bytes {
				best.models[model.Name] = loadedModel{bytes: bytes}
			}
		}
	}
}

func (a *accelerator) freeBytes() int64 {
	left := a.capacityBytes
	for _, m := range a.models {
		left -= m.bytes
	}
	return left
}

// schedule runs f at a virtual time.
func (sim *simulation) schedule(when time.Duration, f func()) {
	heap.Push(&sim.events, &event{at: when, sequence: sim.events.nextSequence(), run: f})
}

// repeat runs f now and then at every interval until the run ends.
func (sim *simulation) repeat(interval time.Duration, f func()) {
	f()
	if sim.now+interval < sim.run.Duration {
		sim.schedule(sim.now+interval, func() { sim.repeat(interval, f) })
	}
}

func (sim *simulation) virtualTime() time.Time { return epoch.Add(sim.now) }

// execute runs the simulation to its end.
func (sim *simulation) execute() Result {
	sim.run.Scenario.scheduleFaults(sim)
	for _, v := range sim.vms {
		offset := time.Duration(sim.random.Int64N(int64(sim.reportInterval())))
		sim.schedule(offset, func() { sim.repeat(sim.reportInterval(), v.readReports) })
	}
	sim.schedule(0, func() { sim.repeat(time.Second, sim.planAll) })
	sim.schedule(0, sim.scheduleArrival)
	for sim.events.Len() > 0 {
		e := heap.Pop(&sim.events).(*event)
		if e.at > sim.run.Duration+drainTime {
			break
		}
		sim.now = e.at
		e.run()
	}
	return sim.summarize()
}

// drainTime is how long the simulation continues after the run's duration so that open calls can finish.
const drainTime = 10 * time.Second

func (sim *simulation) reportInterval() time.Duration {
	if sim.run.Scenario == StaleReports {
		return 5 * time.Second
	}
	return 250 * time.Millisecond
}

// callCapacity returns the calls per second that all engines together can serve, limited by prefill or by decoding slots.
func (sim *simulation) callCapacity() float64 {
	perEngine := min(sim.deployment.Engine.PrefillPerSecond/meanPromptTokens,
		float64(sim.deployment.Engine.Slots)/(meanAnswerTokens*sim.deployment.Engine.TokenInterval.Seconds()))
	return perEngine * float64(len(sim.engines))
}

func (sim *simulation) scheduleArrival() {
	rate := sim.run.Load * sim.callCapacity() * sim.run.Scenario.loadFactor(sim.now)
	sim.schedule(sim.now+time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.now < sim.run.Duration {
			sim.handleArrival()
			sim.scheduleArrival()
		}
	})
}

func (sim *simulation) handleArrival() {
	c := sim.newCall()
	v := sim.vms[sim.random.IntN(len(sim.vms))]
	c.entryDomain = v.domain
	sim.stats(c).calls++
	sim.planners[v.domain].callCounts[c.model.Name]++
	sim.result.Calls++
	if !sim.policy.send(v, c) {
		sim.result.Refused++
	}
}

func (sim *simulation) newCall() *call {
	models := sim.deployment.Configuration.Models
	model := models[sim.run.Scenario.drawModel(sim, len(models))]
	objective, _ := sim.deployment.Configuration.Objective(model.Service, model.Class)
	caller := fmt.Sprintf("caller-%d", sim.random.IntN(callerCount))
	if sim.random.Float64() < heavyCallerShare {
		caller = "heavy"
	}
	c := &call{
		arrived:      sim.now,
		model:        model,
		objective:    objective,
		caller:       caller,
		promptTokens: 1 + int(sim.random.ExpFloat64()*meanPromptTokens),
		answerTokens: 1 + int(sim.random.ExpFloat64()*meanAnswerTokens),
	}
	c.priority = -int64(c.deadline())
	if model.Class == configuration.People {
		c.priority += int64(1) << 60
	}
	return c
}

func (sim *simulation) stats(c *call) *callerStats {
	s, ok := sim.statsByCaller[c.caller]
	if !ok {
		s = &callerStats{}
		sim.statsByCaller[c.caller] = s
	}
	return s
}

// dispatch enqueues a call at an engine, adding the network delay if the engine is in another failure domain.
func (sim *simulation) dispatch(e *engine, c *call) {
	sim.result.Admitted++
	c.sentAt = sim.now
	if e.domain != c.entryDomain {
		sim.result.CrossBytes += uint64(c.answerTokens * bytesPerToken)
		c.networkDelay = regionDelay
	}
	e.enqueue(sim, c)
}

func (sim *simulation) firstToken(c *call) {
	if c.firstTokenAt == 0 {
		c.firstTokenAt = sim.now + c.networkDelay
	}
	c.gotFirstToken = true
	sim.policy.firstToken(c)
}

func (sim *simulation) ended(c *call) {
	c.finished = true
	sim.policy.ended(c)
	if c.firstTokenAt <= c.deadline() {
		sim.result.Attained++
		sim.stats(c).attained++
	} else {
		sim.result.Late++
	}
}

// engineFailed handles the failure of a call's engine: the policy may resume the call at another engine, or it is lost.
func (sim *simulation) engineFailed(c *call) {
	sim.policy.ended(c)
	c.gotFirstToken = false
	if sim.policy.retry(c) {
		sim.result.Admitted--
		return
	}
	c.finished = true
	sim.result.Lost++
}
