package catalog

import "time"

// Kind describes how a route answers and whether its requests may be sent more than once.
type Kind string

// The kinds of route.
const (
	// Safe routes take requests that may run any number of times.
	Safe Kind = "Safe"
	// Unsafe routes take requests that may run at most once.
	Unsafe Kind = "Unsafe"
	// Streaming routes answer with a stream of events. A request may run at most once unless the route is resumable.
	Streaming Kind = "Streaming"
)

// Route describes where requests for a host and path prefix go and how they are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable reports whether a stream may be continued by another runner after its last complete event.
	Resumable bool
	// Timeout bounds the time from a request's arrival to the end of its response.
	Timeout time.Duration
	// Objective is the target time to the response, or to the first event of a stream.
	Objective time.Duration
	// MaxEventGap is the longest gap between two events of a stream that counts as on time; zero if not configured.
	MaxEventGap time.Duration
	// Priority ranks the routes; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of runners that one request may be sent to; attempts that could not be sent don't count.
	MaxAttempts int
	Targets     []Target
	// AllowAnonymous is set if requests without an API key are served although the configuration has accounts.
	AllowAnonymous bool
}

// Target is a service that takes a share of a route's requests in proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Idempotent reports whether the route's requests may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// PickService returns the service for one request, chosen by weight; intN returns a random number in [0, n).
func (r *Route) PickService(intN func(n int) int) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	remaining := intN(total)
	for _, target := range r.Targets {
		if remaining -= target.Weight; remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
