package entry

import (
	"context"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/booking"
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/internal/peer"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

// Stopping implements peer.Local.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// WaitLevels implements peer.Local.
func (e *Entry) WaitLevels() map[string]int8 {
	now := e.Clock.Now()
	view := e.directory.View()
	levels := make(map[string]int8)
	for _, model := range e.configuration.State().Configuration().Models {
		best := time.Duration(-1)
		for _, endpoint := range view.Serving(model.Name) {
			wait, ok := endpoint.Predict(0, now)
			if ok && (best < 0 || wait < best) {
				best = wait
			}
		}
		if best >= 0 {
			levels[model.Name] = peer.WaitLevel(best)
		}
	}
	return levels
}

// Demand implements peer.Local.
func (e *Entry) Demand(name string, counts map[string]uint64) {
	if !e.InSameDomain(name) {
		return
	}
	e.heartbeats.record(name, e.Clock.Now())
	e.domainDemand.Add(counts)
}

// InSameDomain implements peer.Local.
func (e *Entry) InSameDomain(name string) bool {
	for _, vm := range e.entryVMs() {
		if vm.Name == name {
			return vm.FailureDomain == e.Settings.VM.FailureDomain
		}
	}
	return false
}

// Batcher implements peer.Local.
func (e *Entry) Batcher() booking.Batcher { return e.claimBatcher }

// batcher returns the peer that batches the claims of a partition, or false if this VM does.
func (e *Entry) batcher(partition int) (booking.Batcher, bool) { return e.peerNode.Batcher(partition) }

// Prepare implements peer.Local.
func (e *Entry) Prepare(body []byte, caller, requestID string, arrived time.Time) (modelcall.Call, *refusal.Refusal) {
	return e.modelCalls.Prepare(body, caller, requestID, arrived)
}

// Serve implements peer.Local; calls forwarded by peers count towards this VM's calls in flight.
func (e *Entry) Serve(ctx context.Context, call modelcall.Call, sink modelcall.Sink) *refusal.Refusal {
	if err := e.callLimiter.Acquire(); err != nil {
		return limitRefusal(err)
	}
	defer e.callLimiter.Release()
	return e.modelCalls.Serve(ctx, call, sink)
}

func (e *Entry) entryVMs() []vmlist.VM { return e.directory.View().Entries() }

// CanRoute reports whether this VM can route a call to a model now: to an endpoint of its failure domain or through a linked
// peer of another.
func (e *Entry) CanRoute(model string) bool {
	if len(e.directory.View().Serving(model)) > 0 {
		return true
	}
	return e.ServedByOtherDomain(model)
}

// ServedByOtherDomain reports whether a linked peer in another failure domain serves a model.
func (e *Entry) ServedByOtherDomain(model string) bool {
	for _, group := range e.peerNode.Serving(model) {
		if len(group) > 0 {
			return true
		}
	}
	return false
}

// CrossRegionBytes returns how many bytes of calls and answers this VM has exchanged with other regions.
func (e *Entry) CrossRegionBytes() uint64 { return e.peerNode.CrossRegionBytes() }
