package orders

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/layout"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// leavingRunner states that it is about to stop in its answers to orders, in its reports, or in failed responses to report
// requests; it counts the orders.
type leavingRunner struct {
	inOrders  bool
	inReports bool
	failing   bool
	// incarnation is that of its reports.
	incarnation int64
	ordered     int
}

func (r *leavingRunner) Order(context.Context, *roster.Runner, Order) (Answer, error) {
	r.ordered++
	return Answer{Result: Invalid, Leaving: r.inOrders}, nil
}

func (r *leavingRunner) Report(context.Context, *roster.Runner) (Report, error) {
	report := Report{Incarnation: r.incarnation, Leaving: r.inReports}
	if r.failing {
		return report, &endpoint.StatusError{Status: http.StatusServiceUnavailable}
	}
	return report, nil
}

// Any answer to an order or a report request tells that a runner is leaving; no step is planned for it then.
func TestRunnerLeavesByAnswersToOrders(t *testing.T) {
	engine := &catalog.Engine{WeightsMB: 100, LoadsPerSecond: 2, Models: []catalog.Model{{Name: "m0", WeightsMB: 60}}}
	service := catalog.Service{Name: "s", Engine: engine}
	for name, client := range map[string]*leavingRunner{
		"order":         {inOrders: true},
		"report":        {inReports: true},
		"failed report": {inReports: true, failing: true},
	} {
		t.Run(name, func(t *testing.T) {
			controller, registration := newStepController(client)
			controller.Catalog = func() *catalog.Catalog {
				return catalog.New(1, catalog.Limits{}, nil, []catalog.Service{service})
			}
			controller.RosterComplete = func() bool { return true }
			controller.VMs = func() int { return 1 }
			e := &stepExecution{
				controller: controller,
				state:      &runnerState{},
				runner:     registration,
				step:       layout.Step{Runner: "r0", Load: "m0"},
				service:    service,
				synced:     client.inOrders,
			}
			e.run(t.Context())
			require.True(t, controller.Departures.Leaving(registration))
			ordered := client.ordered
			controller.leaseFence, controller.loadTokens["s"] = 7, 1
			controller.RecordMissing("s", "m0", "")
			controller.plan(t.Context(), 7)
			controller.runningSteps.Wait()
			require.Equal(t, ordered, client.ordered)
			require.False(t, controller.runners["r0"].busy)
		})
	}
}

// A report of the next incarnation says nothing about the one that the step was planned for.
func TestReportOfNextIncarnationDoesNotMarkTheEarlierOne(t *testing.T) {
	controller, registration := newStepController(&leavingRunner{inReports: true, incarnation: 2})
	e := &stepExecution{
		controller: controller,
		runner:     registration,
		abandon:    func() {},
	}
	_, err := e.fetchReport(t.Context())
	var restarted *RestartedError
	require.ErrorAs(t, err, &restarted)
	require.False(t, controller.Departures.Leaving(registration))
}
