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

// shardManager manages one shard: its lease, open orders, anchors and plan.
type shardManager struct {
	shardLease
	planner *placement.Planner
	limiter *rate.Limiter
	// inactiveSince is since when an intent's sender is known to have abandoned it or to be gone.
	inactiveSince map[string]time.Time
	// openSince is since when this VM has known an intent to be open.
	openSince map[string]time.Time
	// reportedStuck has the open intents that were logged as stuck.
	reportedStuck map[string]bool
	// unreportedSince is since when an engine incarnation has been known from settlements only, without a report.
	unreportedSince map[string]time.Time

	// sends waits for the goroutines that send orders and record their outcome.
	sends sync.WaitGroup
	// inFlightMu guards inFlight, the intents that such a goroutine still handles.
	inFlightMu sync.Mutex
	inFlight   map[string]bool
}

func newShardManager(h *Holder, shard placement.Shard) *shardManager {
	return &shardManager{
		shardLease: shardLease{
			Holder:     h,
			shard:      shard.Name,
			observedAt: h.Clock.Now(),
		},
		planner:         placement.New(),
		limiter:         rate.NewLimiter(0, 1),
		inactiveSince:   make(map[string]time.Time),
		openSince:       make(map[string]time.Time),
		reportedStuck:   make(map[string]bool),
		unreportedSince: make(map[string]time.Time),
		inFlight:        make(map[string]bool),
	}
}

// run manages the shard until ctx ends, then waits for the orders in flight and releases the lease.
func (m *shardManager) run(ctx context.Context) {
	defer m.release()
	defer m.sends.Wait()
	for {
		m.maintain(ctx)
		if m.maySend(m.fence) {
			m.reconcile(ctx)
		}
		if !pause.For(ctx, m.Clock, reconcileInterval) {
			return
		}
	}
}

// reconcile performs one round of work under the lease.
func (m *shardManager) reconcile(ctx context.Context) {
	endpoints := m.reportingEndpoints()
	m.settleOpenOrders(ctx, endpoints)
	if !m.ensureBarrier(ctx) {
		return
	}
	m.raiseFences(ctx, endpoints)
	m.takeAnchors(ctx, endpoints)
	if m.maySend(m.fence) {
		m.applyPlan(ctx, endpoints)
	}
}

// maxReportAge is the maximum age of a report on which orders are decided; the ledger accounts for orders settled since.
const maxReportAge = 5 * time.Second

// reportingEndpoints returns the endpoints of the shard that have a recent report.
func (m *shardManager) reportingEndpoints() []*directory.Endpoint {
	c := m.Configuration().Configuration()
	var recent []*directory.Endpoint
	for _, e := range m.View().Endpoints() {
		lastReport, ok := e.LastReport()
		if !ok || m.Clock.Since(lastReport.RequestedAt) > maxReportAge {
			continue
		}
		if placement.ShardOf(c, e.VM.Service, e.VM.FailureDomain, e.VM.Name) == m.shard {
			recent = append(recent, e)
		}
	}
	return recent
}

func (m *shardManager) enforcesFencing(e *directory.Endpoint) bool {
	service, _ := m.Configuration().Configuration().Service(e.VM.Service)
	return service.Enforces()
}

func (m *shardManager) fencePersists(e *directory.Endpoint) bool {
	service, _ := m.Configuration().Configuration().Service(e.VM.Service)
	return service.Fencing == configuration.Persistent
}

// orderFence returns the fencing number of orders under the current lease.
func (m *shardManager) orderFence() uint64 { return uint64(m.fence) << 16 }

// raiseFences makes engines that enforce fencing refuse the orders of previous holders. It is repeated for every
// incarnation of an engine, since a restarted engine may have forgotten the number.
func (m *shardManager) raiseFences(ctx context.Context, endpoints []*directory.Endpoint) {
	for _, e := range endpoints {
		lastReport, _ := e.LastReport()
		if !m.enforcesFencing(e) || lastReport.Report.Fence >= m.orderFence() {
			continue
		}
		sendCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := m.Engine.Order(sendCtx, e.VM.Address, endpoint.Order{
			Action: endpoint.RaiseFence,
			Fence:  m.orderFence(),
		})
		cancel()
		if err == nil {
			m.Poll(ctx, e)
		}
	}
}

// trustsReport reports whether no order of a previous holder that is missing from the ledger can still change what the
// last report shows. An engine that enforces fencing must have reported the current lease's number.
func (m *shardManager) trustsReport(e *directory.Endpoint) bool {
	lastReport, _ := e.LastReport()
	return !m.enforcesFencing(e) || lastReport.Report.Fence == m.orderFence()
}

// settleOpenOrders settles the open orders that can have no further effect.
func (m *shardManager) settleOpenOrders(ctx context.Context, endpoints []*directory.Endpoint) {
	now := m.Clock.Now()
	domainLedger := m.Fleet.State().Ledger()
	var settlements []ledger.Settlement
	for _, e := range endpoints {
		lastReport, _ := e.LastReport()
		for _, open := range domainLedger.Open(e.VM.Name) {
			if m.isInFlight(open.Intent.ID) {
				continue
			}
			s, ok := ledger.Settle(open, ledger.Observations{
				Report:            lastReport.Report,
				FencePersists:     m.fencePersists(e),
				SenderGone:        m.senderGone(open.Intent),
				SenderInactiveFor: m.senderInactiveFor(open, now),
				DeliveryBound:     m.DeliveryBound,
			})
			m.warnIfStuck(open.Intent, now)
			if ok {
				settlements = append(settlements, s)
				m.forget(s.Intent)
				event.OrderSettled.Log(m.Logger, slog.String("Intent", s.Intent), slog.String("Reason", string(s.Reason)))
			}
		}
	}
	if len(settlements) > 0 {
		m.recordOutcomes(ctx, settlements, nil)
	}
}

// senderGone reports whether the VM incarnation that sends an intent's order is known to be gone.
func (m *shardManager) senderGone(intent ledger.Intent) bool {
	if intent.VM == m.VM {
		return intent.Sender != m.Incarnation
	}
	for _, vm := range m.View().Entries() {
		if vm.Name == intent.VM {
			return false
		}
	}
	return len(m.View().Entries()) > 0
}

// senderInactiveFor returns for how long this VM has known that an intent's sender abandoned it or is gone.
func (m *shardManager) senderInactiveFor(open ledger.OpenOrder, now time.Time) time.Duration {
	id := open.Intent.ID
	if !open.Abandoned && !m.senderGone(open.Intent) {
		delete(m.inactiveSince, id)
		return 0
	}
	since, ok := m.inactiveSince[id]
	if !ok {
		m.inactiveSince[id] = now
		return 0
	}
	return now.Sub(since)
}

// stuckDeliveryBounds is how many delivery bounds an order may stay open before it is logged as stuck.
const stuckDeliveryBounds = 2

// warnIfStuck logs an order that stays open for longer than the network could delay it.
func (m *shardManager) warnIfStuck(intent ledger.Intent, now time.Time) {
	since, ok := m.openSince[intent.ID]
	if !ok {
		m.openSince[intent.ID] = now
		return
	}
	if now.Sub(since) > stuckDeliveryBounds*m.DeliveryBound && !m.reportedStuck[intent.ID] {
		m.reportedStuck[intent.ID] = true
		event.ReservationStuck.Log(m.Logger, slog.String("Intent", intent.ID), slog.String("Endpoint", intent.Endpoint),
			slog.String("Model", intent.Model))
	}
}

// forget deletes what was tracked about a settled intent.
func (m *shardManager) forget(id string) {
	delete(m.inactiveSince, id)
	delete(m.openSince, id)
	delete(m.reportedStuck, id)
}

// incarnationEnded returns a function that reports whether an incarnation of an engine has ended: this VM saw it before
// the current one, or no report has shown it for longer than the network could delay one.
func (m *shardManager) incarnationEnded(e *directory.Endpoint) func(string) bool {
	return func(incarnation string) bool {
		if e.ReplacedIncarnation(incarnation) {
			return true
		}
		since, ok := m.unreportedSince[incarnation]
		if !ok {
			m.unreportedSince[incarnation] = m.Clock.Now()
			return false
		}
		return m.Clock.Since(since) > m.DeliveryBound
	}
}

func (m *shardManager) isInFlight(id string) bool {
	m.inFlightMu.Lock()
	defer m.inFlightMu.Unlock()
	return m.inFlight[id]
}

func (m *shardManager) setInFlight(id string, inFlight bool) {
	m.inFlightMu.Lock()
	defer m.inFlightMu.Unlock()
	if inFlight {
		m.inFlight[id] = true
		return
	}
	delete(m.inFlight, id)
}
