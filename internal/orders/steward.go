package orders

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// planInterval is the pause between two plans when nothing calls for one earlier.
	planInterval = 200 * time.Millisecond
	// wakePause gathers what is missing before an early plan.
	wakePause = 3 * time.Millisecond
	// settleTime is for how long after a takeover only what is missing altogether is loaded, until demand is known.
	settleTime = 1500 * time.Millisecond
	// missingNow is the rate above which an adapter counts as asked for just now: one request counts so for two seconds.
	missingNow = 0.12
	// restTime is for how long a runner is left alone after a step that brought nothing.
	restTime = 500 * time.Millisecond
	// loadBurst is how many loads from the weight store may begin beyond its rate.
	loadBurst = 2
)

// Lease tells whether this VM may send orders.
type Lease interface {
	// Fence returns the fencing number, and false when no order may be sent.
	Fence() (uint64, bool)
	// Refused notes that a runner has seen a higher fencing number.
	Refused(fence uint64)
}

// Dependencies is what a steward works with.
type Dependencies struct {
	// Holder is the name under which orders are sent.
	Holder  string
	Lease   Lease
	Catalog func() *catalog.Catalog
	Roster  func() *roster.View
	// Settled reports whether the roster is whole; until then no model counts as missing.
	Settled func() bool
	Client  Client
	// VMs returns how many entry VMs there are.
	VMs func() int
	// Uses returns the models and adapters that requests run on now.
	Uses func() map[roster.Use]bool
	// Announce tells every VM that a runner has, or no longer has, a model or adapter.
	Announce func([]Holding)
	Metrics  *Metrics
	Clock    clockwork.Clock
	Logger   *slog.Logger
}

// Holding is a fact about what a runner holds.
type Holding struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Model   string
	Adapter string
	Held    bool
}

// Steward plans and orders while this VM holds the lease; it is safe for concurrent use.
type Steward struct {
	Dependencies
	// missing counts what was asked for and no runner has, ahead of the next rates.
	missing *Meter
	reports *reports
	wake    chan struct{}
	steps   sync.WaitGroup

	mu    sync.Mutex
	books map[string]*book
	// fence is that of the tenure for which books were kept, since when it began.
	fence uint64
	since time.Time
	// credit is how many loads from the weight store may begin now, by service.
	credit   map[string]float64
	credited time.Time
	// storeLoads counts the loads from the weight store under way, by service.
	storeLoads map[string]int
}

// New returns a steward.
func New(d Dependencies) *Steward {
	return &Steward{
		Dependencies: d,
		missing:      NewMeter(d.Clock.Now()),
		reports:      newReports(),
		wake:         make(chan struct{}, 1),
		books:        make(map[string]*book),
		credit:       make(map[string]float64),
		credited:     d.Clock.Now(),
		storeLoads:   make(map[string]int),
	}
}

// Demand takes in the rates that a VM tells.
func (s *Steward) Demand(vm string, rates []Rate) { s.reports.take(vm, rates, s.Clock.Now()) }

// Missing asks for a model or adapter that no runner has; the next plan comes at once.
func (s *Steward) Missing(service, model, adapter string) {
	s.missing.Add(service, model, adapter, s.Clock.Now())
	s.poke()
}

func (s *Steward) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run plans until the context ends, and waits for the steps under way.
func (s *Steward) Run(ctx context.Context) error {
	defer s.steps.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(planInterval):
		case <-s.wake:
			// A moment for more that is missing.
			pause.For(ctx, s.Clock, wakePause)
		}
		if fence, ok := s.Lease.Fence(); ok {
			s.plan(ctx, fence)
		}
	}
}

func (s *Steward) plan(ctx context.Context, fence uint64) {
	current := s.Catalog()
	if current == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if fence != s.fence {
		s.begin(fence, now)
	}
	view := s.Roster()
	s.forget(view)
	inUse := byRunner(s.Uses())
	passed := now.Sub(s.credited).Seconds()
	s.credited = now
	for name, service := range current.Services() {
		if service.Engine == nil {
			continue
		}
		s.earn(name, service.Engine, passed)
		s.planService(ctx, service, view, inUse, now)
	}
}

// begin starts a tenure: what former tenures knew no longer counts, and no load is owed yet.
func (s *Steward) begin(fence uint64, now time.Time) {
	s.fence = fence
	s.since = now
	s.credit = make(map[string]float64)
	for _, b := range s.books {
		b.known = false
	}
}

func (s *Steward) forget(view *roster.View) {
	for id, b := range s.books {
		if _, ok := view.Runner(id); !ok && !b.busy {
			delete(s.books, id)
		}
	}
}

func (s *Steward) planService(ctx context.Context, service catalog.Service, view *roster.View, inUse map[string]map[layout.Adapter]bool, now time.Time) {
	var runners []*layout.Runner
	byID := make(map[string]*layout.Runner)
	for _, r := range view.Service(service.Name) {
		b, ok := s.books[r.ID]
		if !ok {
			b = &book{}
			s.books[r.ID] = b
		}
		b.follow(r)
		runner := b.view(now, inUse[r.ID])
		runner.Busy = runner.Busy || now.Before(b.rest)
		runners = append(runners, runner)
		byID[r.ID] = runner
	}
	demand := s.demand(service.Name, now)
	if !s.Settled() {
		return
	}
	for _, step := range layout.Models(service.Engine, runners, demand, s.mayLoad(service.Name, service.Engine)) {
		byID[step.Runner].Busy = true
		s.start(ctx, service, step, demand)
	}
	for _, step := range layout.Adapters(service.Engine, runners, demand) {
		s.start(ctx, service, step, demand)
	}
}

// demand sums up what the VMs tell; shortly after a takeover the work counts only once most of them spoke.
func (s *Steward) demand(service string, now time.Time) layout.Demand {
	demand, told := s.reports.demand(service, now)
	demand.Missing = make(map[layout.Adapter]bool)
	for _, rate := range s.missing.Rates(now) {
		if rate.Service != service {
			continue
		}
		add(demand, rate)
		if rate.Adapter != "" && rate.Requests > missingNow {
			demand.Missing[layout.Adapter{Model: rate.Model, Name: rate.Adapter}] = true
		}
	}
	if now.Sub(s.since) < settleTime && told <= s.VMs()/2 {
		demand.Work = nil
	}
	return demand
}

// start carries a step out in a thread of its own; the caller holds the lock.
func (s *Steward) start(ctx context.Context, service catalog.Service, step layout.Step, demand layout.Demand) {
	b := s.books[step.Runner]
	b.busy = true
	b.step = step
	if step.FromStore {
		s.credit[service.Name]--
		s.storeLoads[service.Name]++
	}
	if step.Load != "" {
		event.LayoutChosen.Log(s.Logger, slog.String("Runner", step.Runner), slog.String("Load", step.Load),
			slog.Any("Unload", step.Unload), slog.Bool("FromStore", step.FromStore), slog.Float64("Work", step.Work),
			slog.Int("Replicas", step.Replicas), slog.Float64("Cost", step.Cost), slog.Any("Demand", demand.Work))
	}
	e := &execution{
		steward: s,
		book:    b,
		runner:  b.runner,
		step:    step,
		service: service,
		models:  b.models,
		orders:  b.orders,
		known:   b.known,
	}
	s.steps.Go(func() {
		e.run(ctx)
		s.finish(e)
	})
}

// finish takes in what a step achieved.
func (s *Steward) finish(e *execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.step.FromStore {
		s.storeLoads[e.service.Name]--
		if !e.loading {
			s.credit[e.service.Name]++
		}
	}
	s.poke()
	b := e.book
	if b.runner.Born != e.runner.Born {
		// The runner started again meanwhile: what the step knows is of its former run.
		return
	}
	if !e.changed {
		b.rest = s.Clock.Now().Add(restTime)
	}
	b.busy = false
	b.step = layout.Step{}
	b.orders, b.known = e.orders, e.known
	if e.changed {
		b.models = e.models
	}
	b.bring(e.brought, s.Clock.Now())
}
