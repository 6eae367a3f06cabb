package holder

import (
	"context"
	"errors"

	"github.com/cowsliparch/cowsliparch/internal/anchor"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// ensureBarrier invalidates anchor takes that previous holders of the shard may still have in flight, and reports whether
// the barrier is in place.
func (m *shardManager) ensureBarrier(ctx context.Context) bool {
	if m.Anchors.State().Barrier(m.shard) >= m.fence {
		return true
	}
	state, err := m.submitAnchor(ctx, anchor.BarrierKind, anchor.Barrier{
		Shard: m.shard,
		Fence: m.fence,
	})
	return err == nil && state.Barrier(m.shard) >= m.fence
}

// takeAnchors moves to this shard the anchors of the models assigned to it, and of those without an anchor, once it has a
// stable replica.
func (m *shardManager) takeAnchors(ctx context.Context, endpoints []*directory.Endpoint) {
	assignments, _ := m.currentAssignments(m.Configuration())
	stable := m.stableReplicas(endpoints)
	state := m.Anchors.State()
	from := make(map[string]string)
	for model, assignment := range assignments {
		anchorShard, known := state.Anchor(model)
		if stable[model] > 0 && anchorShard != m.shard && (assignment.Anchor == m.shard || !known) {
			from[model] = anchorShard
		}
	}
	if len(from) == 0 {
		return
	}
	_, err := m.submitAnchor(ctx, anchor.TakeKind, anchor.Take{
		Shard: m.shard,
		Fence: m.fence,
		From:  from,
	})
	var unavailable *logservice.UnavailableError
	if err == nil || errors.As(err, &unavailable) {
		return
	}
	// The take may still be appended at any time and make this shard the anchor. Only a barrier under a newer lease
	// invalidates it, so the current lease is released.
	m.release()
}

// stableReplicas counts the replicas of each model that serve and that no open order can unload.
func (m *shardManager) stableReplicas(endpoints []*directory.Endpoint) map[string]int {
	domainLedger := m.Fleet.State().Ledger()
	counts := make(map[string]int)
	for _, e := range endpoints {
		if e.Leaving() {
			continue
		}
		lastReport, _ := e.LastReport()
		for _, memory := range domainLedger.Accelerators(e.VM.Name, lastReport.Report, m.incarnationEnded(e)) {
			for model, status := range memory.Models {
				if status.Stable() {
					counts[model]++
				}
			}
		}
	}
	return counts
}

// submitAnchor appends a record to the Anchors stream and returns the state after it.
func (m *shardManager) submitAnchor(ctx context.Context, kind record.Kind, body any) (anchor.State, error) {
	envelope, err := record.New(kind, body)
	if err != nil {
		return m.Anchors.State(), err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	state, _, err := m.Anchors.Submit(ctx, envelope)
	return state, err
}
