package dispatch

import (
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Reach tells whether this VM reaches the runners. Its methods don't block and are safe for concurrent use.
type Reach interface {
	// RecordFailure records that a connection to a runner could not be opened, or broke off before a response.
	RecordFailure(runner *roster.Runner)
	// CutOff reports whether this VM reaches no runner.
	CutOff() bool
	// Lost returns a channel that is closed once this VM is cut off, and stays closed until it reaches runners again.
	Lost() <-chan struct{}
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
