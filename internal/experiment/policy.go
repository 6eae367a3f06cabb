package experiment

import (
	"fmt"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/admission"
	"github.com/cowsliparch/cowsliparch/internal/peer"
	"github.com/cowsliparch/cowsliparch/internal/routing"
)

// Policy names a way to decide.
type Policy string

// The policies.
const (
	Ours        Policy = "Ours"
	RandomFIFO  Policy = "RandomFIFO"
	LeastLoaded Policy = "LeastLoaded"
	Oracle      Policy = "Oracle"
)

// Policies returns every policy.
func Policies() []Policy { return []Policy{Ours, RandomFIFO, LeastLoaded, Oracle} }

// policy decides about calls.
type policy interface {
	// send puts a call to an engine, or reports that it was refused.
	send(v *vm, c *call) bool
	firstToken(c *call)
	ended(c *call)
	// again sends a call elsewhere whose engine failed, or reports that it does not.
	again(c *call) bool
	// fifo tells that engines take calls as they come.
	fifo() bool
}

func (p Policy) new(w *world) policy {
	switch p {
	case RandomFIFO:
		return &randomPolicy{world: w}
	case LeastLoaded:
		return &leastLoaded{world: w}
	case Oracle:
		return &oracle{world: w}
	default:
		return &ours{world: w}
	}
}

// ours is the policy of the entry VMs, by the same packages.
type ours struct {
	world *world
}

func (p *ours) fifo() bool { return false }

func (p *ours) send(v *vm, c *call) bool {
	w := p.world
	v.budget.Call()
	local, found := routing.Choose(v.byModel[c.model.Name], nil, c.prompt, w.time(), w.random)
	if found && routing.Stays(local.Predicted, c.bound(w.now)) {
		return p.admit(v, c, local)
	}
	domain, predicted := noDomain, time.Duration(0)
	for other, levels := range v.levels {
		level, ok := levels[c.model.Name]
		if !ok {
			continue
		}
		wait := peer.WaitOf(level) + regionCrossing
		if domain == noDomain || wait < predicted || (wait == predicted && other < domain) {
			domain, predicted = other, wait
		}
	}
	if domain != noDomain && (!found || predicted < local.Predicted) {
		return p.spill(v, w.peerIn(domain), c, predicted)
	}
	return found && p.admit(v, c, local)
}

// spill sends a call one hop to a VM of another failure domain, which admits it again by what it knows itself.
func (p *ours) spill(v, to *vm, c *call, predicted time.Duration) bool {
	decision := v.admission.Decide(p.request(c, predicted))
	if !decision.Admit {
		return false
	}
	v.admission.Ended(c.caller)
	remote, found := routing.Choose(to.byModel[c.model.Name], nil, c.prompt, p.world.time(), p.world.random)
	return found && p.admit(to, c, remote)
}

func (p *ours) request(c *call, predicted time.Duration) admission.Request {
	return admission.Request{
		Caller:    c.caller,
		Class:     c.model.Class,
		Bound:     c.bound(p.world.now),
		Predicted: predicted,
		Begun:     c.begun,
		Cost:      p.world.engines[0].prefillTime(c.prompt),
	}
}

func (p *ours) admit(v *vm, c *call, choice routing.Choice[*seat]) bool {
	decision := v.admission.Decide(p.request(c, choice.Predicted))
	if !decision.Admit {
		return false
	}
	if choice.Candidate.engine.down {
		choice.Candidate.load.Failed(p.world.time())
		v.admission.Ended(c.caller)
		return false
	}
	c.vm = v
	c.load = choice.Candidate.load
	c.predicted = choice.Predicted
	c.load.Sent(c.prompt)
	p.world.dispatch(choice.Candidate.engine, c)
	return true
}

func (p *ours) firstToken(c *call) {
	c.load.FirstToken(c.prompt)
	c.vm.admission.FirstToken(c.model.Class, c.first > c.due())
}

func (p *ours) again(c *call) bool {
	c.begun = true
	return c.vm.budget.Retry() && p.send(c.vm, c)
}

func (p *ours) ended(c *call) {
	c.load.Ended(c.prompt, c.started, p.world.now-c.sent)
	c.vm.admission.Ended(c.caller)
}

// randomPolicy sends each call to any engine that serves it, in its own failure domain if there is one.
type randomPolicy struct {
	world *world
}

func (p *randomPolicy) fifo() bool         { return true }
func (p *randomPolicy) firstToken(c *call) {}
func (p *randomPolicy) ended(c *call)      {}
func (p *randomPolicy) again(*call) bool   { return false }

func (p *randomPolicy) send(v *vm, c *call) bool {
	engines := v.reach(c.model.Name)
	if len(engines) == 0 {
		return false
	}
	p.world.dispatch(engines[p.world.random.IntN(len(engines))], c)
	return true
}

// reach returns the engines that serve a model in the VM's failure domain, or else in those it can reach.
func (v *vm) reach(model string) []*engine {
	w := v.world
	var near, far []*engine
	for _, e := range w.engines {
		if !e.serves(model, w.now) {
			continue
		}
		if e.domain == v.domain {
			near = append(near, e)
		} else if w.cut != v.domain && w.cut != e.domain {
			far = append(far, e)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// leastLoaded goes by the last reports alone.
type leastLoaded struct {
	world *world
}

func (p *leastLoaded) fifo() bool         { return true }
func (p *leastLoaded) firstToken(c *call) {}
func (p *leastLoaded) ended(c *call)      {}
func (p *leastLoaded) again(*call) bool   { return false }

func (p *leastLoaded) send(v *vm, c *call) bool {
	var best *engine
	for _, e := range v.reach(c.model.Name) {
		if best == nil || busyness(v.reports[e].Running, v.reports[e].Waiting) < busyness(v.reports[best].Running, v.reports[best].Waiting) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	p.world.dispatch(best, c)
	return true
}

func busyness(running, waiting int) int { return running + waiting }

// oracle knows every queue as it is now, and is the upper limit that policies are held against.
type oracle struct {
	world *world
}

func (p *oracle) fifo() bool         { return false }
func (p *oracle) firstToken(c *call) {}
func (p *oracle) ended(c *call)      {}
func (p *oracle) again(*call) bool   { return false }

func (p *oracle) send(v *vm, c *call) bool {
	w := p.world
	var best *engine
	least := time.Duration(0)
	for _, e := range w.engines {
		far := e.domain != v.domain
		if !e.serves(c.model.Name, w.now) || (far && (w.cut == v.domain || w.cut == e.domain)) {
			continue
		}
		wait := e.wait(w.now, c.prompt)
		if far {
			wait += regionCrossing
		}
		if best == nil || wait < least {
			best, least = e, wait
		}
	}
	if best == nil || !admission.Fits(least, best.prefillTime(c.prompt), c.due()-w.now) {
		return false
	}
	w.dispatch(best, c)
	return true
}

// UnknownError reports a name that no policy or scenario has.
type UnknownError struct {
	Name string
}

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("no policy or scenario %q", e.Name) }
