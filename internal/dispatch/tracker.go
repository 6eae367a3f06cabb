package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/brittle"
	"github.com/cowsliparch/cowsliparch/internal/loadbalance"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Tracker keeps what this VM has learned of the runners' load and health; it is safe for concurrent use.
type Tracker struct {
	roundTrips RoundTrips

	mu      sync.Mutex
	runners map[string]*runnerState
	// uses counts this VM's requests in flight by runner, model and adapter.
	uses map[roster.ModelUse]int
	// observed is the set of runners with observations that their registrations may not show yet.
	observed map[string]bool
	// serviceTimes is the moving average of how long a request takes, by service.
	serviceTimes map[string]time.Duration
	// requestRates is the demand of all VMs for each model.
	requestRates map[serviceModel]requestRate
	paces        paces
	brittle      *brittle.Board
	// vms is the number of VMs as of the last choice.
	vms int
	// random returns a number in [0, 1).
	random func() float64
	// picker, compared and candidates are the memory of a choice.
	picker     loadbalance.Picker
	compared   []*roster.Runner
	candidates []loadbalance.Candidate
}

// serviceModel names a model of a service.
type serviceModel struct {
	service string
	model   string
}

// requestRate is a number of requests per second as of a time.
type requestRate struct {
	perSecond float64
	at        time.Time
}

// requestRateTTL is how long a rate counts after it was received.
const requestRateTTL = 3 * time.Second

// NewTracker returns a tracker that knows nothing yet.
func NewTracker(roundTrips RoundTrips) *Tracker {
	return &Tracker{
		roundTrips: roundTrips,
		runners:    make(map[string]*runnerState),
		uses:       make(map[roster.ModelUse]int),
		observed:   make(map[string]bool),

		serviceTimes: make(map[string]time.Duration),
		requestRates: make(map[serviceModel]requestRate),
		paces:        newPaces(),
		brittle:      brittle.New(),
		random:       rand.Float64,
	}
}

// Observe records, for a limited time, that a runner has, or no longer has, a model or an adapter of it.
func (t *Tracker) Observe(runner, model, adapter string, held bool, now time.Time, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(runner).observe(observation{
		model:   model,
		adapter: adapter,
		held:    held,
		expires: now.Add(ttl),
	}, now)
	t.observed[runner] = true
}

// Prune drops expired observations, and the state of runners that are no longer registered and have no request of
// this VM in flight, except for notices that still bind them.
func (t *Tracker) Prune(view *roster.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.runners {
		if !state.hasObservations(now) {
			delete(t.observed, id)
		}
		if _, known := view.Runner(id); !known && state.ownRequests == 0 && !state.notice.needed(now) {
			delete(t.runners, id)
			delete(t.observed, id)
		}
	}
	t.prunePaces(view, now)
	t.pruneBrittleness(view, now)
}

// state returns what is known of a runner; the caller holds the lock.
func (t *Tracker) state(runner string) *runnerState {
	state, ok := t.runners[runner]
	if !ok {
		state = &runnerState{}
		t.runners[runner] = state
	}
	return state
}

func (t *Tracker) requestSent(use roster.ModelUse, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uses[use]++
	state := t.state(use.Runner)
	if state.ownRequests == 0 {
		state.waitingSince = now
	}
	state.ownRequests++
	state.startProbe(now)
}

// dataReceived records that the runner sent something.
func (t *Tracker) dataReceived(runner *roster.Runner, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(runner.ID).lastReceived = now
}

// LastReceived returns when data last came from a runner to this VM.
func (t *Tracker) LastReceived(runner string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state, known := t.runners[runner]; known {
		return state.lastReceived
	}
	return time.Time{}
}

// silentFor returns how long nothing came from the runner, counted from sent at the earliest.
func (t *Tracker) silentFor(runner *roster.Runner, sent, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if received := t.state(runner.ID).lastReceived; received.After(sent) {
		return now.Sub(received)
	}
	return now.Sub(sent)
}

// Silence returns at how many runners requests of this VM are in flight, and the shortest time for which nothing has come from one of
// these runners while a request waited there.
func (t *Tracker) Silence(now time.Time) (runners int, shortest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.runners {
		if state.ownRequests == 0 {
			continue
		}
		silence := now.Sub(state.waitingSince)
		if state.lastReceived.After(state.waitingSince) {
			silence = now.Sub(state.lastReceived)
		}
		if runners++; runners == 1 || silence < shortest {
			shortest = silence
		}
	}
	return runners, shortest
}

func (t *Tracker) loadReported(runner *roster.Runner, report ReportedLoad, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(runner.ID).applyReport(report, now)
	t.figureReported(runner.ID, report.Figure, now)
	t.brittle.RecordReport(runner.ID, report.Running, report.Waiting, runner.Slots, now)
}

// Occupancy returns this VM's requests at the runners, and records them as announced to the other VMs.
func (t *Tracker) Occupancy() roster.Occupancy {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(roster.Occupancy)
	for id, state := range t.runners {
		state.ownAnnounced = state.ownRequests
		if state.ownRequests > 0 {
			counts[id] = state.ownRequests
		}
	}
	return counts
}

// ModelsInUse returns the models and adapters that this VM's requests in flight run on.
func (t *Tracker) ModelsInUse() []roster.ModelUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := make([]roster.ModelUse, 0, len(t.uses))
	for use := range t.uses {
		if use.Model != "" {
			uses = append(uses, use)
		}
	}
	return uses
}

// ApplyOccupancy updates the estimates from the requests of all VMs at the runners.
func (t *Tracker) ApplyOccupancy(total roster.Occupancy, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range total {
		t.state(id)
	}
	for id, state := range t.runners {
		state.applyTotal(total[id], now)
	}
}

// recordServiceTime records how long a runner worked on a request, the wait for a slot not included.
func (t *Tracker) recordServiceTime(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if average, ok := t.serviceTimes[service]; ok {
		took = average + time.Duration(sampleWeight*float64(took-average))
	}
	t.serviceTimes[service] = took
}

// ApplyRequestRate records how many requests per second all VMs get for a model.
func (t *Tracker) ApplyRequestRate(service, model string, perSecond float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestRates[serviceModel{service: service, model: model}] = requestRate{
		perSecond: perSecond,
		at:        now,
	}
}

// knownRate returns how many requests per second all VMs get for a model, or 0 if it isn't known; the caller holds the lock.
func (t *Tracker) knownRate(service, model string, now time.Time) float64 {
	rate := t.requestRates[serviceModel{service: service, model: model}]
	if now.Sub(rate.at) > requestRateTTL {
		return 0
	}
	return rate.perSecond
}

func (t *Tracker) requestEnded(use roster.ModelUse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(use.Runner).ownRequests--
	if t.uses[use]--; t.uses[use] == 0 {
		delete(t.uses, use)
	}
}

// recordResult counts the result of an attempt for or against the runner.
func (t *Tracker) recordResult(runner *roster.Runner, success bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if success {
		t.state(runner.ID).recordSuccess(now)
		return
	}
	t.state(runner.ID).recordFailure(now)
}

// recordServerError counts a runner's server error in its failure rate but not towards a backoff, since it says less about
// whether the runner is reachable than silence does.
func (t *Tracker) recordServerError(runner *roster.Runner, isServerError bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(runner.ID)
	if isServerError {
		state.recordFailureRate(now)
	}
}
