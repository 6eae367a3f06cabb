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
	"github.com/cowsliparch/cowsliparch/internal/fold"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/internal/placement"
)

// tick is how often a shard's lease, orders and plan are looked at.
const tick = 250 * time.Millisecond

// Options names a VM and paces its leases.
type Options struct {
	VM            string
	Incarnation   string
	FailureDomain string
	LeaseTerm     time.Duration
	LeaseMargin   time.Duration
	DeliveryBound time.Duration
}

// Dependencies is what a holder works with.
type Dependencies struct {
	Options
	Fleet         *fold.Tail[fleet.State]
	Anchors       *fold.Tail[anchor.State]
	Configuration func() configuration.State
	View          func() *directory.View
	Poll          func(ctx context.Context, e *directory.Endpoint)
	// Elsewhere reports whether another failure domain serves a model.
	Elsewhere func(model string) bool
	Meter     *placement.Meter
	Engine    endpoint.Engine
	Clock     clockwork.Clock
	Logger    *slog.Logger
}

// Holder runs a duty for each shard of its failure domain.
type Holder struct {
	Dependencies

	homesMu sync.Mutex
	homesAt logservice.Offset
	homes   map[string]placement.Home
	sizes   map[string]int64
}

// New returns a holder.
func New(d Dependencies) *Holder {
	return &Holder{
		Dependencies: d,
	}
}

// currentHomes returns where the replicas of the preset in force belong and how large they are, worked out once for
// each version.
func (h *Holder) currentHomes(state configuration.State) (map[string]placement.Home, map[string]int64) {
	h.homesMu.Lock()
	defer h.homesMu.Unlock()
	if h.homes == nil || h.homesAt != state.Version() {
		h.homes = placement.Homes(state.Configuration(), state.Preset())
		h.sizes = placement.ReplicaBytes(state.Configuration())
		h.homesAt = state.Version()
	}
	return h.homes, h.sizes
}

// Run keeps a duty going for each shard of the configuration in force, until ctx ends and the leases are released.
func (h *Holder) Run(ctx context.Context) error {
	duties := make(map[string]context.CancelFunc)
	var threads sync.WaitGroup
	defer threads.Wait()
	for {
		h.sync(ctx, duties, &threads)
		if !pause.For(ctx, h.Clock, tick) {
			return nil
		}
	}
}

func (h *Holder) sync(ctx context.Context, duties map[string]context.CancelFunc, threads *sync.WaitGroup) {
	wanted := make(map[string]bool)
	for _, shard := range placement.Shards(h.Configuration().Configuration()) {
		if shard.FailureDomain != h.FailureDomain {
			continue
		}
		wanted[shard.Name] = true
		if _, ok := duties[shard.Name]; ok {
			continue
		}
		running, stop := context.WithCancel(ctx)
		duties[shard.Name] = stop
		d := newDuty(h, shard)
		threads.Go(func() { d.run(running) })
	}
	for name, stop := range duties {
		if !wanted[name] {
			stop()
			delete(duties, name)
		}
	}
}
