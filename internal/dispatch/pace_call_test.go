package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/pacing"
)

// delayedReader delays what follows the first read.
type delayedReader struct {
	io.Reader
	wait func()
	read bool
}

func (r *delayedReader) Read(b []byte) (int, error) {
	if r.read {
		r.wait()
	}
	r.read = true
	return r.Reader.Read(b)
}

// pacedStream is a stream that reports the pace of its runner, 100 for m1 and 70 for m2, and pauses between its two events for 250 ms at
// the former and 175 ms at the latter.
func (h *harness) pacedStream(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
	figure := 70
	if h.sender.runners[len(h.sender.runners)-1] == "m1" {
		figure = 100
	}
	response, err := stream(io.EOF, "data: a\n\n", "data: b\n\n")(ctx, r, attempt)
	response.Load = &dispatch.ReportedLoad{Slots: 8, Figure: figure}
	response.Body = &delayedReader{Reader: response.Body, wait: func() {
		h.clock.Sleep(time.Duration(figure) * 250 * time.Millisecond / 100)
	}}
	return response, err
}

// Requests must teach the choice: figures are seen, pauses are learned, and a fast runner that is farther away gets the streams
// that would pause for too long at the slow one. What was late by a pause is counted, and each record tells the pace.
func TestRequestsTeachPauses(t *testing.T) {
	const streams = 9
	h := newHarness(t)
	h.catalog.Routes()[2].MaxEventGap = 200 * time.Millisecond
	for range streams {
		h.sender.replies = append(h.sender.replies, h.pacedStream)
	}
	registry := prometheus.NewRegistry()
	h.dispatcher.Metrics = dispatch.NewMetrics(registry)
	log := h.captureRecords()
	h.tracker.ApplyPaces(pacing.Paces{"m1": 100, "m2": 70})
	for i := range streams {
		h.caller = &fakeCaller{}
		h.serveAdvancing(t, t.Context(), h.request("/stream/"), 20*time.Millisecond)
		require.Equal(t, http.StatusOK, h.caller.status)
		seen := map[string]pacing.Paces{"m1": {"m1": 100}, "m2": {"m2": 70}}
		require.Equal(t, seen[h.sender.runners[i]], h.tracker.TakeSeenPaces(h.clock.Now()))
	}
	require.Equal(t, "m1", h.sender.runners[0], "no stream has ended yet, and the paces alone don't outweigh the distance")
	require.Equal(t, "m2", h.sender.runners[streams-1])
	require.Contains(t, log.String(), `"Pace":100`)
	require.Contains(t, log.String(), `"Pace":70`)
	slow := 0
	for _, runner := range h.sender.runners {
		if runner == "m1" {
			slow++
		}
	}
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() == "cowsliparch_streams_paused_total" {
			require.InDelta(t, slow, family.GetMetric()[0].GetCounter().GetValue(), 0)
			return
		}
	}
	require.Fail(t, "no stream counts as paused")
}

// Without known paces, records must look as before.
func TestRecordHasNoUnknownPace(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "data: a\n\n"))
	log := h.captureRecords()
	h.serve(t, "/stream/")
	require.Contains(t, log.String(), `"ScoreMS"`)
	require.NotContains(t, log.String(), `"Pace"`)
}
