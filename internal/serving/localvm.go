package serving

import (
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// loadedTTL is how long the lease holder's update that a runner loaded a model or adapter takes precedence over the
	// runner's registration, which lags by about two seconds.
	loadedTTL = 3 * time.Second
	// unloadedTTL is the same for an update that a runner unloads a model or adapter. The runner declines new requests for it
	// at once, but keeps it in its registration until the last running request has ended, which takes at most ten seconds.
	unloadedTTL = 12 * time.Second
)

// HoldsLease implements cluster.LocalVM.
func (s *Server) HoldsLease() bool {
	_, ok := s.lease.Fence()
	return ok
}

// HolderAddress implements cluster.LocalVM.
func (s *Server) HolderAddress() (string, bool) {
	claim, ok := s.lease.Holder()
	return claim.Address, ok && claim.Incarnation != s.incarnation
}

// LeaseStatus implements cluster.LocalVM.
func (s *Server) LeaseStatus() (next logservice.Position, resignedFence uint64) {
	return s.lease.ReadPosition()
}

// HeldFence implements cluster.LocalVM.
func (s *Server) HeldFence() uint64 {
	fence, _ := s.lease.Fence()
	return fence
}

// HolderHeartbeat implements cluster.LocalVM.
func (s *Server) HolderHeartbeat(next logservice.Position, fence uint64) {
	s.lease.HolderSeen(next, fence)
}

// HolderResigned implements cluster.LocalVM.
func (s *Server) HolderResigned(fence uint64) { s.lease.HolderResigned(fence) }

// ConfigurationVersion implements cluster.LocalVM.
func (s *Server) ConfigurationVersion() uint64 { return s.catalog.Version() }

// Configuration implements cluster.LocalVM.
func (s *Server) Configuration() []byte {
	if newest := s.watcher.NewestConfiguration(); newest != nil {
		return newest.Encoded
	}
	return nil
}

// CompressedConfiguration implements cluster.LocalVM.
func (s *Server) CompressedConfiguration() []byte {
	if newest := s.watcher.NewestConfiguration(); newest != nil {
		return newest.Compressed()
	}
	return nil
}

// Runners implements cluster.LocalVM.
func (s *Server) Runners() []roster.Runner {
	all := s.roster.View().All()
	out := make([]roster.Runner, 0, len(all))
	for _, r := range all {
		out = append(out, *r)
	}
	return out
}

// StoreUnavailable implements cluster.LocalVM.
func (s *Server) StoreUnavailable() bool { return s.watcher.StoreUnavailable() }

// ReadsOverdue implements cluster.LocalVM.
func (s *Server) ReadsOverdue() bool { return s.watcher.ReadsOverdue() }

// ReceiveConfiguration implements cluster.LocalVM.
func (s *Server) ReceiveConfiguration(encoded []byte) {
	if err := s.watcher.AdoptConfiguration(encoded); err != nil {
		event.RecordSkipped.Log(s.Logger, event.Error(err))
	}
}

// ReceiveRunners implements cluster.LocalVM.
func (s *Server) ReceiveRunners(runners []roster.Runner) { s.watcher.ApplyPeerRunners(runners) }

// ReceiveHoldings implements cluster.LocalVM.
func (s *Server) ReceiveHoldings(updates []orders.Holding) {
	now := s.Clock.Now()
	for _, u := range updates {
		ttl := loadedTTL
		if !u.Held {
			ttl = unloadedTTL
		}
		s.tracker.Observe(u.Runner, u.Model, u.Adapter, u.Held, now, ttl)
	}
}

// ReceiveChanges implements cluster.LocalVM.
func (s *Server) ReceiveChanges(changes []roster.Change) { s.watcher.ApplyChanges(changes) }

// Occupancy implements cluster.LocalVM.
func (s *Server) Occupancy() roster.Occupancy { return s.tracker.Occupancy() }

// ModelsInUse implements cluster.LocalVM.
func (s *Server) ModelsInUse() []roster.ModelUse { return s.tracker.ModelsInUse() }

// ReceiveOccupancy implements cluster.LocalVM.
func (s *Server) ReceiveOccupancy(totals roster.Occupancy) {
	s.tracker.ApplyOccupancy(totals, s.Clock.Now())
}

// RequestTotals implements cluster.LocalVM.
func (s *Server) RequestTotals() []orders.RequestRate { return s.controller.RequestTotals() }

// ReceiveRequestTotals implements cluster.LocalVM.
func (s *Server) ReceiveRequestTotals(totals []orders.RequestRate) {
	now := s.Clock.Now()
	for _, total := range totals {
		s.tracker.ApplyRequestRate(total.Service, total.Model, float64(total.Requests), now)
	}
}

// DemandRates implements cluster.LocalVM.
func (s *Server) DemandRates() []orders.Rate { return s.demand.Rates(s.Clock.Now()) }

// ReceiveDemand implements cluster.LocalVM.
func (s *Server) ReceiveDemand(vm string, rates []orders.Rate) { s.controller.RecordDemand(vm, rates) }

// ReceiveMissingModel implements cluster.LocalVM.
func (s *Server) ReceiveMissingModel(service, model, adapter string) {
	s.controller.RecordMissing(service, model, adapter)
}

// publishHoldings applies updates on what runners hold here and sends them to all other VMs.
func (s *Server) publishHoldings(updates []orders.Holding) {
	s.ReceiveHoldings(updates)
	s.announcer.Announce(updates)
}

// ForwardChanges implements registry.Peers. The lease holder sends what it reads to all other VMs, so that they can read
// less often.
func (s *Server) ForwardChanges(changes []roster.Change) {
	if s.HoldsLease() {
		s.hub.BroadcastChanges(changes)
	}
}

// LinkedToHolder implements registry.Peers.
func (s *Server) LinkedToHolder() (link uint64, ok bool) {
	return s.spoke.LinksOpened(), !s.HoldsLease() && s.lease.HolderSeenRecently() && !s.spoke.HolderStoreUnavailable()
}

// demandRecorder records what callers request.
type demandRecorder struct {
	server *Server
}

// RecordRequest implements dispatch.DemandRecorder.
func (d *demandRecorder) RecordRequest(service, model, adapter string) {
	d.server.demand.RecordRequest(service, model, adapter, d.server.Clock.Now())
}

// RecordDuration implements dispatch.DemandRecorder.
func (d *demandRecorder) RecordDuration(service, model string, took time.Duration, late bool) {
	d.server.demand.RecordDuration(service, model, took, late)
}

// RecordMissing implements dispatch.DemandRecorder.
func (d *demandRecorder) RecordMissing(service, model, adapter string) {
	d.server.spoke.ReportMissingModel(service, model, adapter)
}
