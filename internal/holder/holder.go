package holder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/anchor"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/fleet"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/placement"
	"github.com/cowsliparch/cowsliparch/internal/replay"
)

// reconcileInterval is the time between two checks of a shard's lease, orders and plan.
const reconcileInterval = 250 * time.Millisecond

// Options identifies the VM and sets the timing of its leases.
type Options struct {
	VM            string
	Incarnation   string
	FailureDomain string
	LeaseTerm     time.Duration
	// LeaseMargin is how long before the end of a lease's term the holder stops sending orders.
	LeaseMargin time.Duration
	// DeliveryBound is the longest time that the network can delay an order.
	DeliveryBound time.Duration
}

// Dependencies has what a Holder works with.
type Dependencies struct {
	Options
	Fleet         *replay.Follower[fleet.State]
	Anchors       *replay.Follower[anchor.State]
	Configuration func() configuration.State
	View          func() *directory.View
	// Poll fetches a new report from an endpoint.
	Poll func(ctx context.Context, e *directory.Endpoint)
	// ServedByOtherDomain reports whether another failure domain serves a model.
	ServedByOtherDomain func(model string) bool
	Meter               *placement.Meter
	Engine              endpoint.Engine
	Clock               clockwork.Clock
	Logger              *slog.Logger
}

// Holder manages the shards of its failure domain, each in a goroutine of its own.
type Holder struct {
	Dependencies

	// assignmentsMu guards the cache of currentAssignments, which all shard managers share.
	assignmentsMu      sync.Mutex
	assignmentsVersion logservice.Offset
	assignments        map[string]placement.Assignment
	replicaBytes       map[string]int64
}

// New returns a Holder that isn't running yet.
func New(d Dependencies) *Holder {
	return &Holder{
		Dependencies: d,
	}
}

// currentAssignments returns the replica assignments of the preset in force and the size of each model's replica,
// computed once for each configuration version.
func (h *Holder) currentAssignments(state configuration.State) (map[string]placement.Assignment, map[string]int64) {
	h.assignmentsMu.Lock()
	defer h.assignmentsMu.Unlock()
	if h.assignments == nil || h.assignmentsVersion != state.Version() {
		h.assignments = placement.AssignReplicas(state.Configuration(), state.Preset())
		h.replicaBytes = placement.ReplicaBytes(state.Configuration())
		h.assignmentsVersion = state.Version()
	}
	return h.assignments, h.replicaBytes
}

// Run manages the shards of the configuration in force until ctx ends and the leases are released.
func (h *Holder) Run(ctx context.Context) error {
	managers := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		h.syncManagers(ctx, managers, &wg)
		if !pause.For(ctx, h.Clock, reconcileInterval) {
			return nil
		}
	}
}

// syncManagers starts a manager for each new shard of the failure domain and stops those of removed shards.
func (h *Holder) syncManagers(ctx context.Context, managers map[string]context.CancelFunc, wg *sync.WaitGroup) {
	wanted := make(map[string]bool)
	for _, shard := range placement.Shards(h.Configuration().Configuration()) {
		if shard.FailureDomain != h.FailureDomain {
			continue
		}
		wanted[shard.Name] = true
		if _, ok := managers[shard.Name]; ok {
			continue
		}
		managerCtx, stop := context.WithCancel(ctx)
		managers[shard.Name] = stop
		manager := newShardManager(h, shard)
		wg.Go(func() { manager.run(managerCtx) })
	}
	for name, stop := range managers {
		if !wanted[name] {
			stop()
			delete(managers, name)
		}
	}
}
