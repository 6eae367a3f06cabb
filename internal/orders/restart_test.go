package orders

import (
	"context"
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

type heldLease struct{}

func (heldLease) Fence() (uint64, bool) { return 7, true }
func (heldLease) FenceRejected(uint64)  {}

// restartedRunner is a runner that has restarted under its ID: it reports its second incarnation, without models or orders, and
// accepts every order.
type restartedRunner struct{ orders []Order }

func (r *restartedRunner) Order(_ context.Context, _ *roster.Runner, o Order) (Answer, error) {
	r.orders = append(r.orders, o)
	return Answer{Result: Accepted}, nil
}

func (r *restartedRunner) Report(context.Context, *roster.Runner) (Report, error) {
	return Report{Incarnation: 2, Orders: uint64(len(r.orders))}, nil
}

// newStepController returns a controller that holds the lease, with one runner.
func newStepController(client Client) (*Controller, *roster.Runner) {
	registration := &roster.Runner{ID: "r0", Service: "s", Incarnation: 1}
	known := roster.New()
	clock := clockwork.NewRealClock()
	known.Apply([]roster.Change{{ID: "r0", Runner: registration}}, clock.Now())
	return New(Dependencies{
		Lease:      heldLease{},
		Roster:     known.View,
		Client:     client,
		Departures: dispatch.NewTracker(dispatch.RoundTrips{}),
		Announce:   func([]Holding) {},
		InUse:      func() map[roster.ModelUse]bool { return nil },
		Metrics:    NewMetrics(prometheus.NewRegistry()),
		Clock:      clock,
		Logger:     slog.New(slog.DiscardHandler),
	}), registration
}

// A runner that restarted under its ID counts orders anew, so a step planned for the earlier incarnation could be accepted there,
// beside the models that the new one was ordered to load. The step ends once a report shows the restart.
func TestStepEndsWhenRunnerRestartedUnderItsID(t *testing.T) {
	engine := &catalog.Engine{WeightsMB: 100, Models: []catalog.Model{{Name: "m0", WeightsMB: 60}, {Name: "m1", WeightsMB: 60}}}
	for name, step := range map[string]layout.Step{
		"before the first order": {Runner: "r0", Load: "m1"},
		"after an unload":        {Runner: "r0", Unload: []string{"m0"}, Load: "m1"},
	} {
		t.Run(name, func(t *testing.T) {
			client := &restartedRunner{}
			controller, registration := newStepController(client)
			e := &stepExecution{
				controller: controller,
				state:      &runnerState{},
				runner:     registration,
				step:       step,
				service:    catalog.Service{Name: "s", Engine: engine},
				models:     map[string][]string{"m0": nil},
				synced:     len(step.Unload) > 0,
			}
			e.run(t.Context())
			for _, o := range client.orders {
				require.True(t, o.Unload, "nothing may be loaded")
			}
			require.False(t, e.synced)
		})
	}
}

// No second step may begin at a runner while the one for its earlier incarnation goes on.
func TestRestartedRunnerStaysBusyUntilStepEnds(t *testing.T) {
	controller, registration := newStepController(&restartedRunner{})
	state := &runnerState{}
	state.updateRegistration(registration)
	state.busy = true
	controller.runners["r0"] = state
	restarted := *registration
	restarted.Incarnation = 2
	state.updateRegistration(&restarted)
	require.True(t, state.layoutRunner(controller.Clock.Now(), nil).Busy)
	controller.finishStep(&stepExecution{
		state:      state,
		runner:     registration,
		orderCount: 4,
		synced:     true,
	})
	require.False(t, state.busy)
	require.False(t, state.synced)
	require.Zero(t, state.orderCount)
}
