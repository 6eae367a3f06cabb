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
	meanPrompt = 500
	meanTokens = 64
	callers    = 40
	heavyShare = 0.3

	domainCrossing = 3 * time.Millisecond
	regionCrossing = 60 * time.Millisecond
	bytesPerToken  = 180
)

// epoch is when virtual time begins.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// world is one run: engines, entry VMs, callers and a queue of events.
type world struct {
	run        Run
	deployment deployment.Deployment
	random     *rand.Rand
	now        time.Duration
	events     eventQueue
	engines    []*engine
	vms        []*vm
	policy     policy
	planners   []*domainPlanner
	cut        int
	storeDown  bool
	result     Result
	byCaller   map[string]*share
}

// share is what one caller asked for and got.
type share struct {
	calls    int
	attained int
}

const noDomain = -1

func newWorld(r Run) (*world, error) {
	d, err := deployment.Named(r.Deployment)
	if err != nil {
		return nil, err
	}
	w := &world{
		run:        r,
		deployment: d,
		random:     rand.New(rand.NewPCG(r.Seed, 11)),
		cut:        noDomain,
		byCaller:   make(map[string]*share),
		result:     Result{Run: r},
	}
	w.policy = r.Policy.new(w)
	w.addEngines()
	w.addVMs()
	w.place()
	for domain := range d.Configuration.FailureDomains {
		w.planners = append(w.planners, newDomainPlanner(w, domain))
	}
	return w, nil
}

func (w *world) addEngines() {
	service, _ := w.deployment.Configuration.Service(w.deployment.ModelService)
	for domain, presence := range service.Presence {
		for i := range presence.Runners {
			e := &engine{
				name:      fmt.Sprintf("runner-%d-%d", domain, i),
				domain:    domain,
				size:      w.deployment.Engine,
				answering: make(map[*call]bool),
			}
			e.waiting.fifo = w.policy.fifo()
			for range service.Accelerators {
				e.accounts = append(e.accounts, account{
					capacity: service.AcceleratorBytes,
					models:   make(map[string]loadedModel),
				})
			}
			w.engines = append(w.engines, e)
		}
	}
}

func (w *world) addVMs() {
	for domain := range w.deployment.Configuration.FailureDomains {
		for range w.deployment.EntriesPerDomain {
			w.vms = append(w.vms, newVM(w, domain))
		}
	}
}

// place puts one replica of each model into every failure domain, on the runner with the most room.
func (w *world) place() {
	for _, model := range w.deployment.Configuration.Models {
		bytes := w.deployment.Configuration.ReplicaBytes(model)
		for domain := range w.deployment.Configuration.FailureDomains {
			var best *account
			for _, e := range w.engines {
				for i := range e.accounts {
					if e.domain == domain && (best == nil || e.accounts[i].free() > best.free()) {
						best = &e.accounts[i]
					}
				}
			}
			if best.free() >= bytes {
				best.models[model.Name] = loadedModel{bytes: bytes}
			}
		}
	}
}

func (a *account) free() int64 {
	left := a.capacity
	for _, m := range a.models {
		left -= m.bytes
	}
	return left
}

// at runs f at a time.
func (w *world) at(when time.Duration, f func()) {
	heap.Push(&w.events, &event{at: when, order: w.events.next(), f: f})
}

// every runs f now and again until the run ends.
func (w *world) every(interval time.Duration, f func()) {
	f()
	if w.now+interval < w.run.Duration {
		w.at(w.now+interval, func() { w.every(interval, f) })
	}
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

// play runs the world to its end.
func (w *world) play() Result {
	w.run.Scenario.begin(w)
	for _, v := range w.vms {
		offset := time.Duration(w.random.Int64N(int64(w.reportInterval())))
		w.at(offset, func() { w.every(w.reportInterval(), v.readReports) })
	}
	w.at(0, func() { w.every(time.Second, w.plan) })
	w.at(0, w.arrive)
	for w.events.Len() > 0 {
		e := heap.Pop(&w.events).(*event)
		if e.at > w.run.Duration+drainTime {
			break
		}
		w.now = e.at
		e.f()
	}
	return w.summary()
}

// drainTime lets answers end that began before the end of the run.
const drainTime = 10 * time.Second

func (w *world) reportInterval() time.Duration {
	if w.run.Scenario == StaleReports {
		return 5 * time.Second
	}
	return 250 * time.Millisecond
}

// capacity is the calls a second that the accelerators can carry.
func (w *world) capacity() float64 {
	perEngine := min(w.deployment.Engine.PrefillPerSecond/meanPrompt,
		float64(w.deployment.Engine.Slots)/(meanTokens*w.deployment.Engine.TokenInterval.Seconds()))
	return perEngine * float64(len(w.engines))
}

func (w *world) arrive() {
	rate := w.run.Load * w.capacity() * w.run.Scenario.rate(w.now)
	w.at(w.now+time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.now < w.run.Duration {
			w.call()
			w.arrive()
		}
	})
}

func (w *world) call() {
	c := w.newCall()
	v := w.vms[w.random.IntN(len(w.vms))]
	c.domain = v.domain
	w.share(c).calls++
	w.planners[v.domain].counts[c.model.Name]++
	w.result.Calls++
	if !w.policy.send(v, c) {
		w.result.Refused++
	}
}

func (w *world) newCall() *call {
	models := w.deployment.Configuration.Models
	model := models[w.run.Scenario.model(w, len(models))]
	objective, _ := w.deployment.Configuration.Objective(model.Service, model.Class)
	caller := fmt.Sprintf("caller-%d", w.random.IntN(callers))
	if w.random.Float64() < heavyShare {
		caller = "heavy"
	}
	c := &call{
		arrived:   w.now,
		model:     model,
		objective: objective,
		caller:    caller,
		prompt:    1 + int(w.random.ExpFloat64()*meanPrompt),
		tokens:    1 + int(w.random.ExpFloat64()*meanTokens),
	}
	c.priority = -int64(c.due())
	if model.Class == configuration.People {
		c.priority += int64(1) << 60
	}
	return c
}

func (w *world) share(c *call) *share {
	s, ok := w.byCaller[c.caller]
	if !ok {
		s = &share{}
		w.byCaller[c.caller] = s
	}
	return s
}

// dispatch puts a call to an engine.
func (w *world) dispatch(e *engine, c *call) {
	w.result.Admitted++
	c.sent = w.now
	if e.domain != c.domain {
		w.result.CrossBytes += uint64(c.tokens * bytesPerToken)
		c.crossing = regionCrossing
	}
	e.put(w, c)
}

func (w *world) firstToken(c *call) {
	if c.first == 0 {
		c.first = w.now + c.crossing
	}
	c.started = true
	w.policy.firstToken(c)
}

func (w *world) ended(c *call) {
	c.over = true
	w.policy.ended(c)
	if c.first <= c.due() {
		w.result.Attained++
		w.share(c).attained++
	} else {
		w.result.Late++
	}
}

// lost ends a call whose engine failed, unless it goes on elsewhere from the token that its caller has.
func (w *world) lost(c *call) {
	w.policy.ended(c)
	c.started = false
	if w.policy.again(c) {
		w.result.Admitted--
		return
	}
	c.over = true
	w.result.Lost++
}
