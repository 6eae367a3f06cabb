package roster

import (
	"slices"
	"time"
)

// Runner is what an endpoint last said of itself in its registration.
type Runner struct {
	// As an array it takes about half of the bytes on links.
	_             struct{} `cbor:",toarray"`
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Remaining is the time until a runner that was given notice is gone; zero if none was given.
	Remaining time.Duration
	// Born tells incarnations of one ID apart; a later one is greater.
	Born int64
	// Heartbeat counts the registrations of an incarnation.
	Heartbeat uint64
	Models    []Holding
	// InMemory and OnDisk name the models of which the runner keeps copies.
	InMemory []string
	OnDisk   []string
}

// Holding is a model in a runner's memory with its adapters.
type Holding struct {
	_        struct{} `cbor:",toarray"`
	Model    string
	Adapters []string
}

// Holds reports whether the runner has a model and, if one is named, its adapter.
func (r *Runner) Holds(model, adapter string) bool {
	for _, holding := range r.Models {
		if holding.Model == model {
			return adapter == "" || slices.Contains(holding.Adapters, adapter)
		}
	}
	return false
}

// WithoutCopies returns the runner without the models of which it only keeps copies, which matter to the holder of the lease for
// orders alone.
func (r *Runner) WithoutCopies() *Runner {
	short := *r
	short.InMemory, short.OnDisk = nil, nil
	return &short
}

// newerThan reports whether r was registered after other.
func (r *Runner) newerThan(other *Runner) bool {
	if r.Born != other.Born {
		return r.Born > other.Born
	}
	return r.Heartbeat > other.Heartbeat
}

// sameFacts reports whether nothing but the heartbeat differs.
func (r *Runner) sameFacts(other *Runner) bool {
	return r.Address == other.Address && r.Draining == other.Draining && r.Born == other.Born &&
		slices.EqualFunc(r.Models, other.Models, func(a, b Holding) bool {
			return a.Model == b.Model && slices.Equal(a.Adapters, b.Adapters)
		})
}
