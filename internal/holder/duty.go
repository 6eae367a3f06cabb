package holder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/placement"
)

// duty is the work for one shard: the lease, open orders, anchors and the plan.
type duty struct {
	tenure
	planner *placement.Planner
	limiter *rate.Limiter
	// waiting is since when an intent's sender is known to have given up or gone.
	waiting map[string]time.Time
	// opened is since when this VM has known an intent to be open; stuck are those that operators were told of.
	opened map[string]time.Time
	stuck  map[string]bool
	// unseen is since when incarnations are known from settlements only.
	unseen map[string]time.Time

	orders   sync.WaitGroup
	flyingMu sync.Mutex
	flying   map[string]bool
}

func newDuty(h *Holder, shard placement.Shard) *duty {
	return &duty{
		tenure: tenure{
			Holder: h,
			shard:  shard.Name,
			since:  h.Clock.Now(),
		},
		planner: placement.New(),
		limiter: rate.NewLimiter(0, 1),
		waiting: make(map[string]time.Time),
		opened:  make(map[string]time.Time),
		stuck:   make(map[string]bool),
		unseen:  make(map[string]time.Time),
		flying:  make(map[string]bool),
	}
}

func (d *duty) run(ctx context.Context) {
	defer d.release()
	defer d.orders.Wait()
	for {
		d.keep(ctx)
		if d.holds(d.fence) {
			d.work(ctx)
		}
		if !pause.For(ctx, d.Clock, tick) {
			return
		}
	}
}

func (d *duty) work(ctx context.Context) {
	endpoints := d.endpoints()
	d.settle(ctx, endpoints)
	if !d.barrier(ctx) {
		return
	}
	d.raise(ctx, endpoints)
	d.take(ctx, endpoints)
	if d.holds(d.fence) {
		d.plan(ctx, endpoints)
	}
}

// reportAge bounds how old a report may be for orders to be decided on it; the ledger keeps what settled since.
const reportAge = 5 * time.Second

// endpoints returns the endpoints of the shard that have reported lately.
func (d *duty) endpoints() []*directory.Endpoint {
	c := d.Configuration().Configuration()
	var out []*directory.Endpoint
	for _, e := range d.View().Endpoints() {
		reported, ok := e.Reported()
		if !ok || d.Clock.Since(reported.Asked) > reportAge {
			continue
		}
		if placement.ShardOf(c, e.VM.Service, e.VM.FailureDomain, e.VM.Name) == d.shard {
			out = append(out, e)
		}
	}
	return out
}

func (d *duty) enforces(e *directory.Endpoint) bool {
	service, _ := d.Configuration().Configuration().Service(e.VM.Service)
	return service.Enforces()
}

func (d *duty) fencePersists(e *directory.Endpoint) bool {
	service, _ := d.Configuration().Configuration().Service(e.VM.Service)
	return service.Fencing == configuration.Persistent
}

func (d *duty) ownFence() uint64 { return uint64(d.fence) << 16 }

// raise makes engines that enforce fencing refuse the orders of former holders. It is done again for every incarnation
// of an engine, since one that restarts may have forgotten the number.
func (d *duty) raise(ctx context.Context, endpoints []*directory.Endpoint) {
	for _, e := range endpoints {
		reported, _ := e.Reported()
		if !d.enforces(e) || reported.Report.Fence >= d.ownFence() {
			continue
		}
		sending, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := d.Engine.Order(sending, e.VM.Address, endpoint.Order{
			Action: endpoint.Raise,
			Fence:  d.ownFence(),
		})
		cancel()
		if err == nil {
			d.Poll(ctx, e)
		}
	}
}

// trusted reports whether a report can't be overtaken by a former holder's order that isn't in the ledger.
func (d *duty) trusted(e *directory.Endpoint) bool {
	reported, _ := e.Reported()
	return !d.enforces(e) || reported.Report.Fence == d.ownFence()
}

// settle closes the open orders that can have no further effect.
func (d *duty) settle(ctx context.Context, endpoints []*directory.Endpoint) {
	now := d.Clock.Now()
	state := d.Fleet.State().Ledger()
	var settlements []ledger.Settlement
	for _, e := range endpoints {
		reported, _ := e.Reported()
		for _, open := range state.Open(e.VM.Name) {
			if d.isFlying(open.Intent.ID) {
				continue
			}
			s, ok := ledger.Settle(open, ledger.Facts{
				Report:        reported.Report,
				FencePersists: d.fencePersists(e),
				SenderGone:    d.senderGone(open.Intent),
				Waited:        d.waited(open, now),
				DeliveryBound: d.DeliveryBound,
			})
			d.warnStuck(open.Intent, now)
			if ok {
				settlements = append(settlements, s)
				d.forget(s.Intent)
				event.OrderSettled.Log(d.Logger, slog.String("Intent", s.Intent), slog.String("Reason", string(s.Reason)))
			}
		}
	}
	if len(settlements) > 0 {
		d.record(ctx, settlements, nil)
	}
}

func (d *duty) senderGone(intent ledger.Intent) bool {
	if intent.VM == d.VM {
		return intent.Sender != d.Incarnation
	}
	for _, vm := range d.View().Entries() {
		if vm.Name == intent.VM {
			return false
		}
	}
	return len(d.View().Entries()) > 0
}

// waited returns for how long this VM has known that nothing more comes from an intent's sender.
func (d *duty) waited(open ledger.Open, now time.Time) time.Duration {
	id := open.Intent.ID
	if !open.Abandoned && !d.senderGone(open.Intent) {
		delete(d.waiting, id)
		return 0
	}
	since, ok := d.waiting[id]
	if !ok {
		d.waiting[id] = now
		return 0
	}
	return now.Sub(since)
}

// stuckAfter is how many delivery bounds an order may stay open before operators are told.
const stuckAfter = 2

// warnStuck tells operators of an order that stays open although the network can't hold it back any more.
func (d *duty) warnStuck(intent ledger.Intent, now time.Time) {
	since, ok := d.opened[intent.ID]
	if !ok {
		d.opened[intent.ID] = now
		return
	}
	if now.Sub(since) > stuckAfter*d.DeliveryBound && !d.stuck[intent.ID] {
		d.stuck[intent.ID] = true
		event.ReservationStuck.Log(d.Logger, slog.String("Intent", intent.ID), slog.String("Endpoint", intent.Endpoint), slog.String("Model", intent.Model))
	}
}

// forget drops what was remembered of an intent that is settled.
func (d *duty) forget(id string) {
	delete(d.waiting, id)
	delete(d.opened, id)
	delete(d.stuck, id)
}

// past tells whether an incarnation of an engine is over: it was seen here before the present one, or no report has
// shown it for as long as the network could hold one back.
func (d *duty) past(e *directory.Endpoint) func(string) bool {
	return func(incarnation string) bool {
		if e.Past(incarnation) {
			return true
		}
		since, ok := d.unseen[incarnation]
		if !ok {
			d.unseen[incarnation] = d.Clock.Now()
			return false
		}
		return d.Clock.Since(since) > d.DeliveryBound
	}
}

func (d *duty) isFlying(id string) bool {
	d.flyingMu.Lock()
	defer d.flyingMu.Unlock()
	return d.flying[id]
}

func (d *duty) setFlying(id string, flying bool) {
	d.flyingMu.Lock()
	defer d.flyingMu.Unlock()
	if flying {
		d.flying[id] = true
		return
	}
	delete(d.flying, id)
}
