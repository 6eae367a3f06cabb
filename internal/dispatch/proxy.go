package dispatch

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// maxProxies is how many VMs may decline a request before it is refused.
	maxProxies = 3
	// proxyRetryAfter is when a caller should come back whose request no VM can send to a runner.
	proxyRetryAfter = time.Second
	// cutOffSilence is the silence of a runner after which a request is sent through another VM while this one reaches no runner.
	cutOffSilence = 400 * time.Millisecond
)

// Reach tells whether this VM reaches the runners. Its methods don't block and are safe for concurrent use.
type Reach interface {
	// RecordFailure records that a connection to a runner could not be opened, or broke off before a response.
	RecordFailure(runner *roster.Runner)
	// CutOff reports whether this VM reaches no runner.
	CutOff() bool
	// Lost returns a channel that is closed once this VM is cut off, and stays closed until it reaches runners again.
	Lost() <-chan struct{}
	// Await waits for a decision if failures suggest that this VM reaches no runner, and reports whether it is cut off.
	Await(ctx context.Context) bool
}

// Proxies are the other entry VMs through which a VM that is cut off from the runners sends its requests.
type Proxies interface {
	// VMs returns the VMs that reach the runners, as endpoints of ProxyService.
	VMs() *roster.View
	// Sender sends a request through one of them exactly once. A response with Refused set is that VM's own.
	Sender
}

// ProxyService is the service of the endpoints that Proxies returns.
const ProxyService = "entry"

// Proxied describes a request that another VM, which reaches no runner, sends through this one.
type Proxied struct {
	// VM is the name of that VM.
	VM string
	// Version is the version of the configuration by which that VM took the request.
	Version uint64
	// Account is the name of the request's client account, whose quota was charged there, or empty.
	Account string
	// Attempts is how many earlier attempts at the request may have reached a runner.
	Attempts int
	// Release is the release of the runners that can go on with the stream, nil if any can.
	Release *string
}

// RunnerObserver may be implemented by a Caller that must know which runner answers; it is told before WriteHeader.
type RunnerObserver interface {
	ObserveRunner(runner *roster.Runner)
}

// alwaysReached is a Reach of a VM that never takes itself for cut off.
type alwaysReached struct{}

// RecordFailure implements Reach.
func (alwaysReached) RecordFailure(*roster.Runner) {}

// CutOff implements Reach.
func (alwaysReached) CutOff() bool { return false }

// Lost implements Reach.
func (alwaysReached) Lost() <-chan struct{} { return nil }

// Await implements Reach.
func (alwaysReached) Await(context.Context) bool { return false }

// cutOff reports whether this VM reaches no runner.
func (c *call) cutOff() bool { return c.d.Proxies != nil && c.d.Reach.CutOff() }

// usesProxy reports whether the next attempt is to be sent through another VM. A request that came from another VM goes no further.
func (c *call) usesProxy() bool { return c.request.Proxied == nil && c.cutOff() }

// lost returns a channel that is closed when the runner of the current attempt gets out of reach, or nil if there is no such moment to wait
// for.
func (c *call) lost() <-chan struct{} {
	if c.d.Proxies == nil || c.current.pick.proxied || c.d.Reach.CutOff() {
		return nil
	}
	return c.d.Reach.Lost()
}

// choose chooses where to send the next attempt, without recording what is missing.
func (c *call) choose() choice {
	now := c.d.Clock.Now()
	if c.usesProxy() {
		return c.chooseProxy(now)
	}
	if c.current != nil && c.current.pick.proxied && c.release == nil && c.request.ResumeAfter != "" && !c.releaseSought {
		// Only the VM of the current attempt has looked for the release of the stream.
		return choice{}
	}
	return c.d.Tracker.choose(c.d.Roster(), c.requirements(), now)
}

func (c *call) chooseProxy(now time.Time) choice {
	pick := c.d.ProxyTracker.choose(c.d.Proxies.VMs(), requirements{
		service: ProxyService,
		tried:   c.tried,
	}, now)
	pick.proxied = true
	return pick
}

// pickBeyondReach chooses where the next attempt is sent while this VM reaches no runner.
func (c *call) pickBeyondReach() (choice, *refusal.Refusal) {
	if c.request.Proxied != nil {
		return choice{}, c.outOfReach("this VM reaches no runner")
	}
	return c.pickProxy()
}

// pickProxy chooses the VM through which the next attempt is sent.
func (c *call) pickProxy() (choice, *refusal.Refusal) {
	pick := c.chooseProxy(c.d.Clock.Now())
	c.pick = pick
	if pick.runner != nil && c.proxiesDeclined < maxProxies {
		return pick, nil
	}
	return pick, c.outOfReach("this VM reaches no runner, and no VM that does takes the request")
}

// outOfReach returns the refusal of a request that can't be sent to a runner.
func (c *call) outOfReach(message string) *refusal.Refusal {
	if c.mayHaveRun || c.inProgress() {
		return refusal.New(http.StatusBadGateway, refusal.OutOfReach, message).WithRan(refusal.Unknown)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.OutOfReach, message).WithRetryAfter(c.retryAfter(proxyRetryAfter))
}

// proxied returns what the VM through which the next attempt is sent is told of the request.
func (c *call) proxied() *Proxied {
	return &Proxied{
		Version:  c.version,
		Account:  c.accountName(),
		Attempts: c.attempts - 1,
		Release:  cmp.Or(c.release, c.onlyRelease),
	}
}

// trackerOf returns the tracker of the runner or the VM of a choice.
func (c *call) trackerOf(pick choice) *Tracker {
	if pick.proxied {
		return c.d.ProxyTracker
	}
	return c.d.Tracker
}

// senderFor returns the sender to the runner or the VM of a choice.
func (c *call) senderFor(pick choice) Sender {
	if pick.proxied {
		return c.d.Proxies
	}
	return c.d.Sender
}

// admitProxied takes over the state of a request that another VM sends through this one, or refuses it as not run: if this VM reaches no
// runner either, or if it does not have the configuration yet by which the other one took the request.
func (c *call) admitProxied(current *catalog.Catalog) *refusal.Refusal {
	proxied := c.request.Proxied
	if proxied == nil {
		return nil
	}
	c.attempts, c.mayHaveRun = proxied.Attempts, proxied.Attempts > 0
	c.release = proxied.Release
	switch {
	case c.d.Reach.CutOff():
		return refusal.New(http.StatusServiceUnavailable, refusal.OutOfReach, "this VM reaches no runner")
	case current.Version < proxied.Version:
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "this VM has an earlier configuration")
	default:
		return nil
	}
}

// handleProxyRefusal handles the refusal of a VM through which the request was sent. One that can't take any request is passed over; what
// another one refuses, it refuses for the caller.
func (c *call) handleProxyRefusal(a *attempt) (bool, *refusal.Refusal) {
	refused := a.response.Refused
	a.drain(c.d.Clock)
	c.recordSendFailure(a.pick, refused)
	if refused.Ran != refusal.NotRun {
		c.mayHaveRun = true
		if unavailable(refused) {
			a.tracker.recordResult(a.pick.runner, false, a.lastUpdate)
			return c.retryOrFail(a, refused.Message)
		}
		c.end(a)
		return !c.inProgress(), refused
	}
	c.attempts--
	c.proxiesDeclined++
	if unavailable(refused) {
		a.tracker.recordResult(a.pick.runner, false, a.lastUpdate)
		c.end(a)
		return false, nil
	}
	c.end(a)
	if c.inProgress() {
		return false, nil
	}
	if c.mayHaveRun {
		return true, refusal.New(http.StatusBadGateway, refused.Code, refused.Message).WithRan(refusal.Unknown)
	}
	return true, refused
}

// unavailable reports whether a VM refused a request for a reason of its own, so that another one may take it.
func unavailable(refused *refusal.Refusal) bool {
	switch refused.Code {
	case refusal.OutOfReach, refusal.NotReady, refusal.Stopping, refusal.TooManyCalls, refusal.BadRequest, refusal.TooLarge:
		return true
	default:
		return false
	}
}

// recordReachFailure records an attempt that failed because its connection could not be opened or broke off.
func (c *call) recordReachFailure(a *attempt, err error) {
	var notSent *endpoint.NotSentError
	if !a.pick.proxied && (errors.As(err, &notSent) || brokenOff(err)) {
		c.d.Reach.RecordFailure(a.pick.runner)
	}
}

// observeRunner notes which runner answers a request that was sent through another VM, and tells the caller if it wants to know.
func (c *call) observeRunner(a *attempt) {
	if answered := a.response.Proxy; answered != nil {
		c.proxy, c.runner = a.pick.runner.ID, answered.Runner
	}
	if observer, ok := c.caller.(RunnerObserver); ok {
		observer.ObserveRunner(a.pick.runner)
	}
}
