package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// fakeGuard records the evidence that it gets.
type fakeGuard struct {
	mu          sync.Mutex
	quarantined string
	suspected   string
	strikes     []string
	sound       int
}

func has(sections []dispatch.PromptSection, id string) bool {
	return slices.ContainsFunc(sections, func(s dispatch.PromptSection) bool { return s.ID == id })
}

func (g *fakeGuard) Quarantined(sections []dispatch.PromptSection) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantined, has(sections, g.quarantined)
}

func (g *fakeGuard) Suspected(sections []dispatch.PromptSection) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return has(sections, g.suspected)
}

func (g *fakeGuard) RecordStrike(runner *roster.Runner, _ []dispatch.PromptSection, _, _ time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.strikes = append(g.strikes, runner.ID)
}

func (g *fakeGuard) RecordSound([]dispatch.PromptSection, time.Time, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sound++
}

func newGuardedHarness(t *testing.T, replies ...reply) (*harness, *fakeGuard) {
	t.Helper()
	h := newHarness(t, replies...)
	guard := &fakeGuard{}
	h.dispatcher.Guard = guard
	return h, guard
}

func (h *harness) requestWithSections(path string) *dispatch.Request {
	r := h.request(path)
	r.PromptSections = []dispatch.PromptSection{{ID: "shared"}, {ID: "deadly"}, {ID: "own"}}
	return r
}

// crash fails as the connections of a runner do when its process ends.
func crash(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
	return nil, &endpoint.NoResponseError{Cause: syscall.ECONNRESET}
}

// A prompt with a section in quarantine must reach no runner, and its caller learns at once that it has not run.
func TestQuarantinedPromptReachesNoRunner(t *testing.T) {
	h, guard := newGuardedHarness(t, stream(nil, firstEvent))
	guard.quarantined = "deadly"
	h.dispatcher.Serve(t.Context(), h.requestWithSections("/stream/"), h.caller)
	require.Zero(t, h.sender.count())
	require.Equal(t, refusal.QuarantinedPrompt, h.caller.refused.Code)
	require.Equal(t, http.StatusServiceUnavailable, h.caller.refused.Status)
	require.Equal(t, refusal.NotRun, h.caller.refused.Ran)
	require.Positive(t, h.caller.refused.RetryAfter)
}

// A section that is put in quarantine while a runner ends under it must not reach the next one.
func TestQuarantineHoldsForRetries(t *testing.T) {
	h, guard := newGuardedHarness(t)
	h.sender.replies = []reply{func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		guard.mu.Lock()
		defer guard.mu.Unlock()
		guard.quarantined = "deadly"
		return crash(ctx, r, attempt)
	}}
	h.dispatcher.Serve(t.Context(), h.requestWithSections("/stream/"), h.caller)
	require.Equal(t, 1, h.sender.count())
	require.Equal(t, http.StatusBadGateway, h.caller.refused.Status)
	require.Equal(t, refusal.Unknown, h.caller.refused.Ran)
}

// A request that may be the one that ends runners must not be sent to a second one, whether the first ended or is silent.
func TestSuspectedPromptIsNotRetried(t *testing.T) {
	for name, first := range map[string]reply{"crash": crash, "broken off": stream(io.ErrUnexpectedEOF), "silent": hang} {
		t.Run(name, func(t *testing.T) {
			h, guard := newGuardedHarness(t, first, stream(nil, firstEvent))
			guard.suspected = "deadly"
			h.serveAdvancing(t, t.Context(), h.requestWithSections("/stream/"), 50*time.Millisecond)
			require.Equal(t, 1, h.sender.count())
			require.Equal(t, refusal.Unknown, h.caller.refused.Ran)
		})
	}
}

// A suspected prompt that was declined has not run, and one whose stream has begun is not what ended the runner.
func TestSuspicionKeepsHarmlessRetries(t *testing.T) {
	for name, first := range map[string]reply{"declined": decline(http.StatusServiceUnavailable), "begun": stream(io.ErrUnexpectedEOF, firstEvent)} {
		t.Run(name, func(t *testing.T) {
			h, guard := newGuardedHarness(t, first, stream(nil, secondEvent))
			guard.suspected = "deadly"
			h.dispatcher.Serve(t.Context(), h.requestWithSections("/stream/"), h.caller)
			require.Equal(t, 2, h.sender.count())
			require.Contains(t, h.caller.body, secondEvent)
		})
	}
}

// Only a connection that its runner ended before any data of the response counts against the prompt.
func TestEvidenceAgainstPrompt(t *testing.T) {
	malformed := func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return nil, &endpoint.NoResponseError{Cause: errors.New("malformed HTTP response")}
	}
	for name, tt := range map[string]struct {
		path    string
		reply   reply
		strikes int
		sound   int
	}{
		"crash":              {"/once/", crash, 1, 0},
		"end without a head": {"/once/", loseResponse, 1, 0},
		"end after the head": {"/once/", stream(io.ErrUnexpectedEOF), 1, 0},
		"end in first event": {"/once/", stream(io.ErrUnexpectedEOF, "id: 1\nda"), 1, 0},
		"end after an event": {"/once/", stream(io.ErrUnexpectedEOF, firstEvent), 0, 1},
		"malformed":          {"/once/", malformed, 0, 0},
		"not sent":           {"/once/", failNotSent, 0, 0},
		"declined":           {"/once/", decline(http.StatusServiceUnavailable), 0, 0},
		"error":              {"/once/", respond(http.StatusInternalServerError, "no"), 0, 0},
		"answered":           {"/once/", stream(nil, firstEvent, secondEvent), 0, 1},
		"no model service":   {"/unsafe/", crash, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h, guard := newGuardedHarness(t, tt.reply)
			h.dispatcher.Serve(t.Context(), h.requestWithSections(tt.path), h.caller)
			require.Len(t, guard.strikes, tt.strikes)
			require.Equal(t, tt.sound, guard.sound)
		})
	}
}
