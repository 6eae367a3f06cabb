package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/deployment"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/ledger"
	"github.com/cowsliparch/cowsliparch/internal/placement"
)

var now = time.Unix(1000, 0)

func runner(name string, capacity int64, models map[string]ledger.Status) placement.Runner {
	memory := ledger.AcceleratorMemory{
		CapacityBytes: capacity,
		Models:        models,
	}
	for _, status := range models {
		memory.ReservedBytes += status.Bytes
	}
	return placement.Runner{
		Name:         name,
		Slots:        10,
		Accelerators: []ledger.AcceleratorMemory{memory},
	}
}

func ready(bytes int64) ledger.Status {
	return ledger.Status{
		Bytes:   bytes,
		Present: true,
		Ready:   true,
	}
}

func TestFloorLoadsOnRunnerWithFreeMemory(t *testing.T) {
	moves := placement.New().Plan(now, placement.Input{
		Targets:  []placement.Target{{Model: "a", Bytes: 2, Floor: 1}},
		Runners:  []placement.Runner{runner("full", 3, map[string]ledger.Status{"b": ready(2)}), runner("empty", 3, nil)},
		MaxLoads: 1,
	})
	require.Len(t, moves, 1)
	require.Equal(t, endpoint.Load, moves[0].Action)
	require.Equal(t, "empty", moves[0].Runner)
}

func TestLastReplicaOfAnchorIsKept(t *testing.T) {
	for _, keep := range []bool{true, false} {
		moves := placement.New().Plan(now, placement.Input{
			Targets: []placement.Target{
				{Model: "wanted", Bytes: 2, Floor: 1},
				{Model: "spare", Bytes: 2, KeepLast: keep},
			},
			Runners:  []placement.Runner{runner("only", 3, map[string]ledger.Status{"spare": ready(2)})},
			MaxLoads: 1,
		})
		if keep {
			require.Empty(t, moves, "the anchor's last replica must not be unloaded")
			continue
		}
		require.Len(t, moves, 1)
		require.Equal(t, endpoint.Unload, moves[0].Action)
	}
}

func TestReplicaBeingUnloadedDoesNotCount(t *testing.T) {
	unloading := ready(2)
	unloading.Unloading = true
	moves := placement.New().Plan(now, placement.Input{
		Targets: []placement.Target{
			{Model: "wanted", Bytes: 2, Floor: 1},
			{Model: "spare", Bytes: 2, KeepLast: true},
		},
		Runners: []placement.Runner{
			runner("one", 2, map[string]ledger.Status{"spare": unloading}),
			runner("two", 2, map[string]ledger.Status{"spare": ready(2)}),
		},
		MaxLoads: 1,
	})
	require.Empty(t, moves, "the other replica may be unloaded already")
}

func TestAssignedReplicasMeetEveryFloorAndAreDeterministic(t *testing.T) {
	c := deployment.Peplos().Configuration
	for _, preset := range c.Presets {
		assignments := placement.AssignReplicas(c, preset)
		require.Equal(t, assignments, placement.AssignReplicas(c, preset))
		for _, model := range c.Models {
			sum := 0
			for _, n := range assignments[model.Name].Replicas {
				sum += n
			}
			require.Equal(t, preset.Floor(model.Name), sum, "%s under %s", model.Name, preset.Name)
			require.Positive(t, assignments[model.Name].Replicas[assignments[model.Name].Anchor])
		}
	}
}
