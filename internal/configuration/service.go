package configuration

import "strings"

// Kind is the kind of a service: model service or plain service.
type Kind string

// The service kinds.
const (
	ModelService Kind = "Model"
	PlainService Kind = "Plain"
)

// Fencing describes how engines handle the fencing token of an order.
type Fencing string

// The fencing modes.
const (
	// Ignored means that engines carry out orders regardless of their fencing token.
	Ignored Fencing = "Ignored"
	// Enforced means that engines refuse orders with an outdated token, but forget the highest token when they restart.
	Enforced Fencing = "Enforced"
	// Persistent means that engines refuse orders with an outdated token and keep the highest token across restarts.
	Persistent Fencing = "Persistent"
)

// Enforces reports whether the engines of the service refuse orders with an outdated fencing token.
func (s Service) Enforces() bool { return s.Fencing == Enforced || s.Fencing == Persistent }

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	Kind Kind
	// Fencing describes how the engines handle fencing tokens; empty means Ignored.
	Fencing Fencing `json:",omitempty"`
	// Accelerators is the number of accelerators per runner of the service.
	Accelerators int `json:",omitempty"`
	// AcceleratorBytes is the memory size of one accelerator.
	AcceleratorBytes int64 `json:",omitempty"`
	// Presence lists the number of endpoints of the service in each failure domain.
	Presence []Presence
	// Idempotent lists the calls that may be retried; all others run at most once.
	Idempotent []Route `json:",omitempty"`
}

// Presence is the number of endpoints of a service in one failure domain.
type Presence struct {
	FailureDomain string
	Runners       int
	// Shards is the number of groups that the runners are divided into, with one lease per group; 0 means 1.
	Shards int `json:",omitempty"`
}

// Runners returns the number of endpoints of the service in all failure domains.
func (s Service) Runners() int {
	total := 0
	for _, p := range s.Presence {
		total += p.Runners
	}
	return total
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
