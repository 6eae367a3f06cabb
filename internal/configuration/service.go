package configuration

import "strings"

// Kind tells model services from plain ones.
type Kind string

// The kinds of service.
const (
	ModelService Kind = "Model"
	PlainService Kind = "Plain"
)

// Fencing tells what engines make of an order's fencing number.
type Fencing string

// The kinds of fencing.
const (
	// Ignored means that orders run whatever their number.
	Ignored Fencing = "Ignored"
	// Enforced means that an order with an old number is refused, until the engine restarts and forgets the newest.
	Enforced Fencing = "Enforced"
	// Persistent means that the newest number outlasts restarts of the engine.
	Persistent Fencing = "Persistent"
)

// Enforces reports whether the engines of the service refuse orders with an old number.
func (s Service) Enforces() bool { return s.Fencing == Enforced || s.Fencing == Persistent }

// Service is a group of endpoints that answer alike.
type Service struct {
	Name string
	Kind Kind
	// Fencing tells what the engines make of fencing numbers; empty means Ignored.
	Fencing Fencing `json:",omitempty"`
	// Accelerators is how many a runner of the service has.
	Accelerators int `json:",omitempty"`
	// AcceleratorBytes is the memory of one accelerator.
	AcceleratorBytes int64 `json:",omitempty"`
	// Presence tells how many endpoints of the service each failure domain has.
	Presence []Presence
	// Idempotent lists the calls that may be repeated; all others are at-most-once.
	Idempotent []Route `json:",omitempty"`
}

// Presence is a service's share of one failure domain.
type Presence struct {
	FailureDomain string
	Runners       int
	// Shards is into how many leases the runners are cut; 0 means 1.
	Shards int `json:",omitempty"`
}

// Runners returns how many endpoints the service has over all failure domains.
func (s Service) Runners() int {
	sum := 0
	for _, p := range s.Presence {
		sum += p.Runners
	}
	return sum
}

// Route matches calls by method and path prefix.
type Route struct {
	Method     string
	PathPrefix string
}

// IsIdempotent reports whether a call may be sent more than once.
func (s Service) IsIdempotent(method, path string) bool {
	for _, route := range s.Idempotent {
		if route.Method == method && strings.HasPrefix(path, route.PathPrefix) {
			return true
		}
	}
	return false
}
