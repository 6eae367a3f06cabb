package orders

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// contestedRunner checks order counts; just before the first order arrives, it accepts orders of another holder for three adapters,
// one of them the same.
type contestedRunner struct {
	slots    int
	adapters []string
	count    uint64
	taken    bool
	exceeded bool
}

func (r *contestedRunner) Order(_ context.Context, _ *roster.Runner, o Order) (Answer, error) {
	if !r.taken {
		r.taken = true
		r.adapters = append(r.adapters, "a1", "a5", "a6")
		r.count += 3
	}
	if o.ExpectedOrders != r.count {
		return Answer{Result: Conflict}, nil
	}
	r.count++
	if o.Unload {
		r.adapters = slices.DeleteFunc(r.adapters, func(name string) bool { return name == o.Adapter })
		return Answer{Result: AlreadyInState}, nil
	}
	r.adapters = append(r.adapters, o.Adapter)
	r.exceeded = r.exceeded || len(r.adapters) > r.slots
	return Answer{Result: Accepted}, nil
}

func (r *contestedRunner) Report(context.Context, *roster.Runner) (Report, error) {
	return Report{
		Incarnation: 1,
		Orders:      r.count,
		Models:      []roster.LoadedModel{{Model: "m0", Adapters: slices.Clone(r.adapters)}},
	}, nil
}

// Of two VMs that both send orders for a moment, one gets a conflict for an adapter that the other has ordered. It must go on from
// what the runner then reports, not from what it knew before, or it orders more adapters than the runner has slots for.
func TestConflictReplacesKnownAdapters(t *testing.T) {
	client := &contestedRunner{slots: 4}
	controller, registration := newStepController(client)
	e := &stepExecution{
		controller: controller,
		state:      &runnerState{},
		runner:     registration,
		step: layout.Step{Runner: "r0", Adapters: []layout.Adapter{
			{Model: "m0", Name: "a1"}, {Model: "m0", Name: "a2"}, {Model: "m0", Name: "a3"}, {Model: "m0", Name: "a4"},
		}},
		service: catalog.Service{Name: "s", Engine: &catalog.Engine{AdapterSlots: 4}},
		models:  map[string][]string{"m0": nil},
		synced:  true,
	}
	e.run(t.Context())
	require.False(t, client.exceeded)
	require.ElementsMatch(t, client.adapters, e.models["m0"])
}
