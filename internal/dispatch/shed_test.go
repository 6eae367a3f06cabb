package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
	"github.com/cowsliparch/cowsliparch/internal/shedding"
)

// shedByCost returns a harness whose model runners lack capacity for the less urgent requests, which may wait.
func shedByCost(t *testing.T) *harness {
	t.Helper()
	h := overloaded(t)
	urgent, patient, impatient := route("/urgent/", catalog.Streaming, false, 1), route("/patient/", catalog.Streaming, false, 1),
		route("/impatient/", catalog.Streaming, false, 1)
	patient.Priority, patient.Objective = 1, 4*time.Second
	impatient.Priority, impatient.Objective = 1, 200*time.Millisecond
	h.catalog = catalog.New(9, catalog.Limits{}, []catalog.Route{urgent, patient, impatient}, []catalog.Service{{
		Name:   "models",
		Engine: &catalog.Engine{Models: []catalog.Model{{Name: "m", LoadTime: 2 * time.Second}}},
	}})
	h.dispatcher.Shedding = dispatch.Shedding{ByCost: func() bool { return true }, Shedder: shedding.New()}
	h.setLoad(60)
	return h
}

// setLoad makes each model runner have a number of requests. The demand is such that this VM's part is several requests, which are
// delayed with certainty; of less than one, a VM delays one with a probability.
func (h *harness) setLoad(requests int) {
	h.clock.Advance(time.Second)
	h.tracker.ApplyOccupancy(roster.Occupancy{"m1": requests, "m2": requests}, h.clock.Now())
	h.tracker.ApplyRequestRate("models", "m", 0.5, h.clock.Now())
}

// start begins to serve a request; the returned function waits for its end.
func (h *harness) start(t *testing.T, ctx context.Context, path string) (wait func()) {
	t.Helper()
	r := h.request(path)
	r.Model = "m"
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.dispatcher.Serve(ctx, r, h.caller)
	}()
	return func() {
		select {
		case <-done:
		case <-time.After(waitTimeout):
			require.Fail(t, "the request doesn't end")
		}
	}
}

// awaitDelay waits until the request is delayed: its deadline and its delay are then the timers of the clock.
func (h *harness) awaitDelay(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, h.clock.BlockUntilContext(ctx, 2), "the request isn't delayed")
	require.Zero(t, h.sender.count(), "a delayed request occupies a runner")
	require.Empty(t, h.tracker.ModelsInUse())
}

// A delayed request must be sent once there is capacity, and its log line must show the delay.
func TestDelayedRequestIsSentWhenCapacityReturns(t *testing.T) {
	h := shedByCost(t)
	log := h.captureRecords()
	wait := h.start(t, t.Context(), "/patient/")
	h.awaitDelay(t)
	h.setLoad(0)
	require.Eventually(t, func() bool {
		h.clock.Advance(100 * time.Millisecond)
		return h.sender.count() == 1
	}, waitTimeout, pollInterval)
	wait()
	require.Equal(t, http.StatusOK, h.caller.status)
	require.Regexp(t, `"Rank":1,"DelayedMS":[1-9]\d*,"Shed":"Capacity"`, log.String())
}

// A delay must end at once when the caller leaves or the VM terminates requests, without the request being sent.
func TestDelayEndsWhenCallerLeavesOrVMTerminates(t *testing.T) {
	for name, cause := range map[string]error{"caller left": context.Canceled, "VM terminates": dispatch.ErrStopping} {
		t.Run(name, func(t *testing.T) {
			h := shedByCost(t)
			ctx, cancel := context.WithCancelCause(t.Context())
			wait := h.start(t, ctx, "/patient/")
			h.awaitDelay(t)
			cancel(cause)
			wait()
			require.Zero(t, h.sender.count())
			if cause == dispatch.ErrStopping {
				require.Equal(t, refusal.Stopping, h.caller.refused.Code)
				require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
			} else {
				require.True(t, h.caller.aborted)
			}
		})
	}
}

// When a graceful stop begins, delayed requests must be sent rather than use up the time that the stop may take.
func TestDelayEndsWhenStopBegins(t *testing.T) {
	h := shedByCost(t)
	stopping := make(chan struct{})
	h.dispatcher.Shedding.Stopping = func() bool {
		select {
		case <-stopping:
			return true
		default:
			return false
		}
	}
	wait := h.start(t, t.Context(), "/patient/")
	h.awaitDelay(t)
	close(stopping)
	h.clock.Advance(500 * time.Millisecond)
	wait()
	require.Equal(t, 1, h.sender.count())
	require.Equal(t, http.StatusOK, h.caller.status)
}

// A request that can neither be served nor wait must be refused at once as not run, and counted by rank and reason; the most urgent
// one must be sent even so.
func TestImpatientRequestIsRefusedAndUrgentOneSent(t *testing.T) {
	h := shedByCost(t)
	registry := prometheus.NewRegistry()
	h.dispatcher.Metrics = dispatch.NewMetrics(registry)
	h.start(t, t.Context(), "/impatient/")()
	require.Zero(t, h.sender.count())
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
	require.LessOrEqual(t, h.caller.refused.RetryAfter, 5*time.Second/3)
	require.Equal(t, []string{"Refuse", "1", "Wait", "models"}, shedLabels(t, registry), "action, rank, reason and service")
	h.setLoad(8)
	h.start(t, t.Context(), "/urgent/")()
	require.Equal(t, 1, h.sender.count())
}

// shedLabels returns the labels of the only count of delayed or refused requests, sorted by their names.
func shedLabels(t *testing.T, registry *prometheus.Registry) []string {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	var values []string
	for _, family := range families {
		if family.GetName() != "cowsliparch_requests_shed_total" {
			continue
		}
		require.Len(t, family.GetMetric(), 1)
		for _, label := range family.GetMetric()[0].GetLabel() {
			values = append(values, label.GetValue())
		}
	}
	return values
}
