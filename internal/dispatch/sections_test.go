package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// fakeGuard records the evidence that it gets.
type fakeGuard struct {
	mu          sync.Mutex
	quarantined string
	suspected   string
	strikes     []string
	// begun and sound count the answers that began, and those that showed their prompt to be sound.
	begun int
	sound int
	// ended counts the answers whose end nothing marks, unreachable lists runners at which no process listens.
	ended       int
	unreachable []string
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

func (g *fakeGuard) RecordStrike(runner *roster.Runner, _ []dispatch.PromptSection, p quarantine.Progress, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.MayCrash(at) {
		g.strikes = append(g.strikes, runner.ID)
	}
}

func (g *fakeGuard) RecordAnswer(_ []dispatch.PromptSection, p quarantine.Progress) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Sound() {
		g.sound++
	} else {
		g.begun++
	}
}

func (g *fakeGuard) RecordUnmarkedEnd(_ *roster.Runner, _ []dispatch.PromptSection, _ quarantine.Progress, _ time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended++
}

func (g *fakeGuard) RecordUnreachable(runner *roster.Runner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable = append(g.unreachable, runner.ID)
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

// A suspected prompt that was declined has not run, and one whose stream went on for a second is not what ended the runner.
func TestSuspicionKeepsHarmlessRetries(t *testing.T) {
	const lastEvent = "id: 9\ndata: last\n\n"
	for name, first := range map[string]func(h *harness) reply{
		"declined": func(*harness) reply { return decline(http.StatusServiceUnavailable) },
		"going on": func(h *harness) reply { return h.breakOffAfter(3) },
	} {
		t.Run(name, func(t *testing.T) {
			h, guard := newGuardedHarness(t)
			h.sender.replies = []reply{first(h), stream(nil, lastEvent)}
			guard.suspected = "deadly"
			h.serveAdvancing(t, t.Context(), h.requestWithSections("/stream/"), 50*time.Millisecond)
			require.Equal(t, 2, h.sender.count())
			require.Contains(t, h.caller.body, lastEvent)
		})
	}
}

// brokenReader ends with an error in place of io.EOF.
type brokenReader struct {
	io.Reader
}

func (r *brokenReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// numberedReader returns events with increasing IDs, after a pause before each.
type numberedReader struct {
	clock  clockwork.Clock
	pause  time.Duration
	events int
	last   int
}

func (r *numberedReader) Read(b []byte) (int, error) {
	if r.last == r.events {
		return 0, io.EOF
	}
	r.last++
	<-r.clock.After(r.pause)
	return copy(b, fmt.Sprintf("id: %d\ndata: x\n\n", r.last)), nil
}

// breakOffAfter replies with a stream that breaks off after some events, with 400 ms between two of them.
func (h *harness) breakOffAfter(events int) reply {
	return func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: http.StatusOK,
			Length: -1,
			Body: &brokenReader{Reader: &numberedReader{
				clock:  h.clock,
				pause:  400 * time.Millisecond,
				events: events,
			}},
		}, nil
	}
}

// unframed has nothing but the end of the connection mark the end of a response.
func unframed(next reply) reply {
	return func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
		response, err := next(ctx, r, attempt)
		response.EndUnmarked = true
		return response, err
	}
}

// A stream whose connection ends after its head must not look like an empty one, where nothing else marks its end.
func TestUnframedStreamWithoutEventsIsBrokenOff(t *testing.T) {
	h, guard := newGuardedHarness(t, unframed(stream(io.EOF)))
	h.dispatcher.Serve(t.Context(), h.requestWithSections("/once/"), h.caller)
	require.Equal(t, http.StatusBadGateway, h.caller.refused.Status)
	require.Len(t, guard.strikes, 1)
}

// A section that crashes runners after the first event of an answer must not crash a second one where the stream would be resumed.
func TestSuspectedStreamIsNotResumedAfterItsFirstEvent(t *testing.T) {
	h, guard := newGuardedHarness(t, stream(io.ErrUnexpectedEOF, firstEvent), stream(nil, secondEvent))
	guard.suspected = "deadly"
	h.dispatcher.Serve(t.Context(), h.requestWithSections("/stream/"), h.caller)
	require.Equal(t, 1, h.sender.count())
	require.True(t, h.caller.aborted)
}

// What a runner that no process serves any more had sent without a marked end is not known to be whole.
func TestUnreachableRunnerIsRecorded(t *testing.T) {
	h, guard := newGuardedHarness(t, unframed(stream(nil, firstEvent)), func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return nil, &endpoint.NotSentError{Cause: syscall.ECONNREFUSED}
	}, stream(nil, firstEvent))
	h.dispatcher.Serve(t.Context(), h.requestWithSections("/once/"), h.caller)
	require.Equal(t, 1, guard.ended)
	require.Empty(t, guard.unreachable)
	h.dispatcher.Serve(t.Context(), h.requestWithSections("/once/"), h.caller)
	require.Equal(t, h.sender.runners[1:2], guard.unreachable)
}

// Only a connection that its runner ended before the answer went on for a while counts against the prompt, and only an answer that did
// so, or is whole, shows it to be sound.
func TestEvidenceAgainstPrompt(t *testing.T) {
	malformed := func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return nil, &endpoint.NoResponseError{Cause: errors.New("malformed HTTP response")}
	}
	goingOn := func(events int) func(h *harness) reply {
		return func(h *harness) reply { return h.breakOffAfter(events) }
	}
	always := func(r reply) func(h *harness) reply {
		return func(*harness) reply { return r }
	}
	for name, tt := range map[string]struct {
		path    string
		reply   func(h *harness) reply
		strikes int
		begun   int
		sound   int
	}{
		"crash":                {"/once/", always(crash), 1, 0, 0},
		"end without a head":   {"/once/", always(loseResponse), 1, 0, 0},
		"end after the head":   {"/once/", always(stream(io.ErrUnexpectedEOF)), 1, 0, 0},
		"end in first event":   {"/once/", always(stream(io.ErrUnexpectedEOF, "id: 1\nda")), 1, 0, 0},
		"end after an event":   {"/once/", always(stream(io.ErrUnexpectedEOF, firstEvent)), 1, 1, 0},
		"end after two":        {"/once/", goingOn(2), 1, 1, 0},
		"end after a second":   {"/once/", goingOn(3), 0, 1, 1},
		"malformed":            {"/once/", always(malformed), 0, 0, 0},
		"not sent":             {"/once/", always(failNotSent), 0, 0, 0},
		"declined":             {"/once/", always(decline(http.StatusServiceUnavailable)), 0, 0, 0},
		"error":                {"/once/", always(respond(http.StatusInternalServerError, "no")), 0, 0, 0},
		"answered":             {"/once/", always(stream(nil, firstEvent, secondEvent)), 0, 1, 1},
		"unframed end":         {"/once/", always(unframed(stream(nil, firstEvent, secondEvent))), 0, 1, 0},
		"whole body, cut":      {"/whole/", always(stream(io.ErrUnexpectedEOF, "part")), 1, 1, 0},
		"whole body, unframed": {"/whole/", always(unframed(stream(nil, "all"))), 0, 1, 0},
		"whole body":           {"/whole/", always(respond(http.StatusOK, "all")), 0, 1, 1},
		"no model service":     {"/unsafe/", always(crash), 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h, guard := newGuardedHarness(t)
			h.sender.replies = []reply{tt.reply(h)}
			h.serveAdvancing(t, t.Context(), h.requestWithSections(tt.path), 50*time.Millisecond)
			require.Len(t, guard.strikes, tt.strikes)
			require.Equal(t, tt.begun, guard.begun)
			require.Equal(t, tt.sound, guard.sound)
		})
	}
}
