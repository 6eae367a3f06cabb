package catalog

import "time"

// Kind tells how the answers of a route come and what of its requests may be repeated.
type Kind string

// The kinds of route.
const (
	// Safe requests may run any number of times.
	Safe Kind = "Safe"
	// Unsafe requests may run once at most.
	Unsafe Kind = "Unsafe"
	// Streaming answers are events; the request may run once at most unless the route is resumable.
	Streaming Kind = "Streaming"
)

// Route says where requests of a host and path prefix go and how they are treated.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may go on at another runner after their last whole event.
	Resumable bool
	// Timeout is the longest time from a request's arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that is on time; zero if the route does not say.
	MaxPause time.Duration
	// Priority is the rank among routes; 0 comes first.
	Priority int
	// MaxSends is how many runners one request may be sent to.
	MaxSends int
	Targets  []Target
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Service returns the service for one request; draw returns a number below its argument.
func (r *Route) Service(draw func(n int) int) string {
	sum := 0
	for _, target := range r.Targets {
		sum += target.Weight
	}
	if sum <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	at := draw(sum)
	for _, target := range r.Targets {
		if at -= target.Weight; at < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
