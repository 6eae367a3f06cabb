package roster

import (
	"slices"
	"time"
)

// Runner is the newest registration of a runner, an endpoint that registers itself in the store.
type Runner struct {
	// Encoding it as an array takes about half the bytes on links.
	_             struct{} `cbor:",toarray"`
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Remaining is the time until a runner with short notice is shut down; zero if it has no notice.
	Remaining time.Duration
	// Release is the version of the runner's software. What two releases write doesn't fit together. It is not encoded, because VMs of
	// an older release could not decode it; links carry it apart.
	Release string `cbor:"-"`
	// Incarnation identifies the incarnation of a runner ID; later incarnations have greater values.
	Incarnation int64
	// Heartbeat counts the registrations of this incarnation.
	Heartbeat uint64
	Models    []LoadedModel
	// InMemory and OnDisk name the models whose weights the runner keeps as copies in host memory and on disk.
	InMemory []string
	OnDisk   []string
}

// LoadedModel is a model that a runner has loaded, with the adapters loaded for it.
type LoadedModel struct {
	_        struct{} `cbor:",toarray"`
	Model    string
	Adapters []string
}

// HasLoaded reports whether the runner has loaded a model and, unless adapter is empty, that adapter.
func (r *Runner) HasLoaded(model, adapter string) bool {
	for _, loaded := range r.Models {
		if loaded.Model == model {
			return adapter == "" || slices.Contains(loaded.Adapters, adapter)
		}
	}
	return false
}

// WithoutCopies returns the runner without InMemory and OnDisk, which only the lease holder needs.
func (r *Runner) WithoutCopies() *Runner {
	stripped := *r
	stripped.InMemory, stripped.OnDisk = nil, nil
	return &stripped
}

// newerThan reports whether r is a later registration than other.
func (r *Runner) newerThan(other *Runner) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Heartbeat > other.Heartbeat
}

// sameState reports whether two registrations agree in all that other VMs need: everything but the heartbeat, the copies of
// weights, and how much of the time until a shutdown remains.
func (r *Runner) sameState(other *Runner) bool {
	return r.Address == other.Address && r.Draining == other.Draining && r.Incarnation == other.Incarnation &&
		r.Service == other.Service && r.FailureDomain == other.FailureDomain && r.Slots == other.Slots && r.Release == other.Release &&
		(r.Remaining > 0) == (other.Remaining > 0) &&
		slices.EqualFunc(r.Models, other.Models, func(a, b LoadedModel) bool {
			return a.Model == b.Model && slices.Equal(a.Adapters, b.Adapters)
		})
}
