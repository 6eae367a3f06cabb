package experiment

import (
	"fmt"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/admission"
	"github.com/cowsliparch/cowsliparch/internal/peer"
	"github.com/cowsliparch/cowsliparch/internal/routing"
)

// Policy names an algorithm that admits and routes calls.
type Policy string

// Policies that a run can use: Ours is the production one, the others are baselines.
const (
	Ours        Policy = "Ours"
	RandomFIFO  Policy = "RandomFIFO"
	LeastLoaded Policy = "LeastLoaded"
	Oracle      Policy = "Oracle"
)

// Policies returns every policy.
func Policies() []Policy { return []Policy{Ours, RandomFIFO, LeastLoaded, Oracle} }

// policy admits and routes calls.
type policy interface {
	// send dispatches a call to an engine and returns true, or returns false if it refuses the call.
	send(v *vm, c *call) bool
	firstToken(c *call)
	ended(c *call)
	// retry sends a call whose engine failed to another engine; it returns false if the call is lost.
	retry(c *call) bool
	// fifo reports whether engines serve calls in order of arrival instead of by priority.
	fifo() bool
}

func (p Policy) new(sim *simulation) policy {
	switch p {
	case RandomFIFO:
		return &randomPolicy{sim: sim}
	case LeastLoaded:
		return &leastLoaded{sim: sim}
	case Oracle:
		return &oracle{sim: sim}
	default:
		return &entryPolicy{sim: sim}
	}
}

// entryPolicy is the policy of the entry VMs; it uses the same packages as they do.
type entryPolicy struct {
	sim *simulation
}

func (p *entryPolicy) fifo() bool { return false }

func (p *entryPolicy) send(v *vm, c *call) bool {
	sim := p.sim
	v.retryBudget.RecordCall()
	local, found := routing.Choose(v.viewsByModel[c.model.Name], nil, c.promptTokens, sim.virtualTime(), sim.random)
	if found && routing.KeepLocal(local.Predicted, c.timeLeft(sim.now)) {
		return p.admit(v, c, local)
	}
	domain, predicted := noDomain, time.Duration(0)
	for other, levels := range v.waitLevels {
		level, ok := levels[c.model.Name]
		if !ok {
			continue
		}
		wait := peer.MaxWait(level) + regionDelay
		if domain == noDomain || wait < predicted || (wait == predicted && other < domain) {
			domain, predicted = other, wait
		}
	}
	if domain != noDomain && (!found || predicted < local.Predicted) {
		return p.spill(v, sim.randomVM(domain), c, predicted)
	}
	return found && p.admit(v, c, local)
}

// spill forwards a call to a VM of another failure domain. That VM makes its own routing and admission decision from what it
// knows itself, and doesn't forward the call further.
func (p *entryPolicy) spill(v, to *vm, c *call, predicted time.Duration) bool {
	decision := v.admission.Decide(p.admissionRequest(c, predicted))
	if !decision.Admit {
		return false
	}
	v.admission.Release(c.caller)
	remote, found := routing.Choose(to.viewsByModel[c.model.Name], nil, c.promptTokens, p.sim.virtualTime(), p.sim.random)
	return found && p.admit(to, c, remote)
}

func (p *entryPolicy) admissionRequest(c *call, predicted time.Duration) admission.Request {
	return admission.Request{
		Caller:          c.caller,
		Class:           c.model.Class,
		Bound:           c.timeLeft(p.sim.now),
		Predicted:       predicted,
		AlreadyAdmitted: c.retried,
		PrefillTime:     p.sim.engines[0].prefillTime(c.promptTokens),
	}
}

func (p *entryPolicy) admit(v *vm, c *call, choice routing.Choice[*engineView]) bool {
	decision := v.admission.Decide(p.admissionRequest(c, choice.Predicted))
	if !decision.Admit {
		return false
	}
	if choice.Candidate.engine.down {
		choice.Candidate.load.Failed(p.sim.virtualTime())
		v.admission.Release(c.caller)
		return false
	}
	c.vm = v
	c.load = choice.Candidate.load
	c.predicted = choice.Predicted
	c.load.Sent(c.promptTokens)
	p.sim.dispatch(choice.Candidate.engine, c)
	return true
}

func (p *entryPolicy) firstToken(c *call) {
	c.load.FirstToken(c.promptTokens)
	c.vm.admission.FirstToken(c.model.Class, c.firstTokenAt > c.deadline())
}

func (p *entryPolicy) retry(c *call) bool {
	c.retried = true
	return c.vm.retryBudget.TakeRetry() && p.send(c.vm, c)
}

func (p *entryPolicy) ended(c *call) {
	c.load.Ended(c.promptTokens, c.gotFirstToken, p.sim.now-c.sentAt)
	c.vm.admission.Release(c.caller)
}

// randomPolicy sends each call to a random engine that serves its model, preferring the VM's own failure domain.
type randomPolicy struct {
	sim *simulation
}

func (p *randomPolicy) fifo() bool         { return true }
func (p *randomPolicy) firstToken(c *call) {}
func (p *randomPolicy) ended(c *call)      {}
func (p *randomPolicy) retry(*call) bool   { return false }

func (p *randomPolicy) send(v *vm, c *call) bool {
	engines := v.reachableEngines(c.model.Name)
	if len(engines) == 0 {
		return false
	}
	p.sim.dispatch(engines[p.sim.random.IntN(len(engines))], c)
	return true
}

// reachableEngines returns the engines that serve a model in the VM's failure domain, or if there are none, those in the
// failure domains that the VM can reach.
func (v *vm) reachableEngines(model string) []*engine {
	sim := v.sim
	var local, remote []*engine
	for _, e := range sim.engines {
		if !e.serves(model, sim.now) {
			continue
		}
		if e.domain == v.domain {
			local = append(local, e)
		} else if sim.cutDomain != v.domain && sim.cutDomain != e.domain {
			remote = append(remote, e)
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}

// leastLoaded sends each call to the engine with the fewest running and waiting calls in its last report.
type leastLoaded struct {
	sim *simulation
}

func (p *leastLoaded) fifo() bool         { return true }
func (p *leastLoaded) firstToken(c *call) {}
func (p *leastLoaded) ended(c *call)      {}
func (p *leastLoaded) retry(*call) bool   { return false }

func (p *leastLoaded) send(v *vm, c *call) bool {
	var best *engine
	for _, e := range v.reachableEngines(c.model.Name) {
		if best == nil || outstanding(v.reports[e].Running, v.reports[e].Waiting) < outstanding(v.reports[best].Running, v.reports[best].Waiting) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	p.sim.dispatch(best, c)
	return true
}

func outstanding(running, waiting int) int { return running + waiting }

// oracle decides by the current state of every queue; it is the upper bound that other policies are compared with.
type oracle struct {
	sim *simulation
}

func (p *oracle) fifo() bool         { return false }
func (p *oracle) firstToken(c *call) {}
func (p *oracle) ended(c *call)      {}
func (p *oracle) retry(*call) bool   { return false }

func (p *oracle) send(v *vm, c *call) bool {
	sim := p.sim
	var best *engine
	leastDelay := time.Duration(0)
	for _, e := range sim.engines {
		remote := e.domain != v.domain
		if !e.serves(c.model.Name, sim.now) || (remote && (sim.cutDomain == v.domain || sim.cutDomain == e.domain)) {
			continue
		}
		delay := e.firstTokenDelay(sim.now, c.promptTokens)
		if remote {
			delay += regionDelay
		}
		if best == nil || delay < leastDelay {
			best, leastDelay = e, delay
		}
	}
	if best == nil || !admission.Fits(leastDelay, best.prefillTime(c.promptTokens), c.deadline()-sim.now) {
		return false
	}
	sim.dispatch(best, c)
	return true
}

// UnknownError reports an unknown policy or scenario name.
type UnknownError struct {
	Name string
}

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("unknown policy or scenario %q", e.Name) }
