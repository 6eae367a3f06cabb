package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/buffer"
	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 2 * time.Millisecond
	// bufferBytes is what the responses of a harness may hold together.
	bufferBytes = 8 << 20
)

// reply is what a runner does with one attempt.
type reply func(ctx context.Context, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error)

// fakeSender records the attempts, in order, and answers each with the next reply.
type fakeSender struct {
	mu       sync.Mutex
	replies  []reply
	runners  []string
	attempts []dispatch.Attempt
	closed   []bool
}

func (s *fakeSender) Send(ctx context.Context, to *roster.Runner, r *dispatch.Request, attempt dispatch.Attempt) (*dispatch.Response, error) {
	s.mu.Lock()
	n := len(s.runners)
	s.runners = append(s.runners, to.ID)
	s.attempts = append(s.attempts, attempt)
	s.closed = append(s.closed, false)
	next := s.replies[min(n, len(s.replies)-1)]
	s.mu.Unlock()
	response, err := next(ctx, r, attempt)
	if response != nil {
		response.Close = func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.closed[n] = true
		}
	}
	return response, err
}

func (s *fakeSender) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runners)
}

// respond replies with a complete response.
func respond(status int, body string) reply {
	return func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: status,
			Header: http.Header{"Signature": {"s"}},
			Length: int64(len(body)),
			Body:   &chunkReader{chunks: []string{body}},
		}, nil
	}
}

// decline replies that the request was not executed.
func decline(status int) reply {
	return func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status:      status,
			NotRun:      true,
			Misdirected: status == http.StatusMisdirectedRequest,
			Body:        &chunkReader{},
		}, nil
	}
}

// loseResponse fails after the request was written, so that it may have run.
func loseResponse(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
	return nil, &endpoint.NoResponseError{Cause: io.ErrUnexpectedEOF}
}

// failNotSent fails before the request was written.
func failNotSent(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
	return nil, &endpoint.NotSentError{Cause: io.ErrClosedPipe}
}

// stream responds with chunks and then an error; io.EOF ends the response properly.
func stream(end error, chunks ...string) reply {
	return func(context.Context, *dispatch.Request, dispatch.Attempt) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: http.StatusOK,
			Length: -1,
			Body:   &chunkReader{chunks: chunks, end: end},
		}, nil
	}
}

// hang sends no response until the context ends.
func hang(ctx context.Context, _ *dispatch.Request, _ dispatch.Attempt) (*dispatch.Response, error) {
	<-ctx.Done()
	return nil, &endpoint.NoResponseError{Cause: context.Cause(ctx)}
}

// chunkReader returns one chunk per read and then ends with an error, io.EOF by default.
type chunkReader struct {
	chunks []string
	end    error
}

func (r *chunkReader) Read(b []byte) (int, error) {
	if len(r.chunks) == 0 {
		if r.end != nil {
			return 0, r.end
		}
		return 0, io.EOF
	}
	n := copy(b, r.chunks[0])
	r.chunks = r.chunks[1:]
	return n, nil
}

// fakeCaller records what it receives.
type fakeCaller struct {
	mu         sync.Mutex
	status     int
	header     http.Header
	body       string
	refused    *refusal.Refusal
	aborted    bool
	failWrites bool
}

var errDisconnected = errors.New("caller disconnected")

func (c *fakeCaller) WriteHeader(status int, header http.Header, _ int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
	c.header = header
	return nil
}

func (c *fakeCaller) Write(piece []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failWrites {
		return errDisconnected
	}
	c.body += string(piece)
	return nil
}

func (c *fakeCaller) Refuse(r *refusal.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = r
}

func (c *fakeCaller) Interrupt() {}

func (c *fakeCaller) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
}

// fakeDemand records the models and adapters that the dispatcher found missing.
type fakeDemand struct {
	mu      sync.Mutex
	missing []string
}

func (d *fakeDemand) RecordRequest(string, string, string)               {}
func (d *fakeDemand) RecordDuration(string, string, time.Duration, bool) {}
func (d *fakeDemand) RecordMissing(_, model, adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.missing = append(d.missing, model+"/"+adapter)
}

// harness is a dispatcher with two runners for each service.
type harness struct {
	sender      *fakeSender
	caller      *fakeCaller
	demand      *fakeDemand
	clock       *clockwork.FakeClock
	tracker     *dispatch.Tracker
	roster      *roster.Roster
	retryBudget *dispatch.RetryBudget
	catalog     *catalog.Catalog
	dispatcher  *dispatch.Dispatcher
}

func route(prefix string, kind catalog.Kind, resumable bool, maxAttempts int) catalog.Route {
	service := "plain"
	if kind == catalog.Streaming {
		service = "models"
	}
	return catalog.Route{
		Name:        prefix,
		Host:        "h.example",
		PathPrefix:  prefix,
		Kind:        kind,
		Resumable:   resumable,
		Timeout:     10 * time.Second,
		Objective:   400 * time.Millisecond,
		MaxAttempts: maxAttempts,
		Targets:     []catalog.Target{{Service: service, Weight: 1}},
	}
}

func newHarness(t *testing.T, replies ...reply) *harness {
	t.Helper()
	clock := clockwork.NewFakeClock()
	h := &harness{
		sender: &fakeSender{replies: replies},
		caller: &fakeCaller{},
		demand: &fakeDemand{},
		clock:  clock,
		tracker: dispatch.NewTracker(dispatch.RoundTrips{
			FailureDomain: "a",
			Regions:       map[string]string{"a": "r", "b": "s"},
		}),
		roster: roster.New(),
		retryBudget: dispatch.NewRetryBudget(dispatch.RetryLimits{
			Window: 10 * time.Second,
			Ratio:  0.2,
			Slack:  50,
		}, clock.Now()),
		catalog: catalog.New(7, catalog.Limits{}, []catalog.Route{
			route("/safe/", catalog.Safe, false, 2),
			route("/unsafe/", catalog.Unsafe, false, 2),
			route("/stream/", catalog.Streaming, true, 2),
			route("/once/", catalog.Streaming, false, 2),
			{
				Name:        "/whole/",
				Host:        "h.example",
				PathPrefix:  "/whole/",
				Kind:        catalog.Unsafe,
				Timeout:     10 * time.Second,
				Objective:   400 * time.Millisecond,
				MaxAttempts: 2,
				Targets:     []catalog.Target{{Service: "models", Weight: 1}},
			},
		}, []catalog.Service{
			{Name: "plain"},
			{Name: "models", Engine: &catalog.Engine{}},
		}),
	}
	h.roster.Apply([]roster.Change{
		runner("p1", "plain", "a"), runner("p2", "plain", "b"),
		runner("m1", "models", "a"), runner("m2", "models", "b"),
	}, clock.Now())
	h.dispatcher = dispatch.New(dispatch.Dependencies{
		Catalog:     func() *catalog.Catalog { return h.catalog },
		Roster:      h.roster.View,
		VMs:         func() int { return 1 },
		Tracker:     h.tracker,
		RetryBudget: h.retryBudget,
		Sender:      h.sender,
		Demand:      h.demand,
		Buffers:     buffer.NewBudget(bufferBytes, 0),
		Metrics:     dispatch.NewMetrics(prometheus.NewRegistry()),
		Clock:       clock,
		Logger:      slog.New(slog.DiscardHandler),
	})
	return h
}

// captureRecords makes the dispatcher log to the returned buffer.
func (h *harness) captureRecords() *bytes.Buffer {
	log := &bytes.Buffer{}
	h.dispatcher.Logger = slog.New(slog.NewJSONHandler(log, nil))
	return log
}

func runner(id, service, domain string) roster.Change {
	return roster.Change{
		ID: id,
		Runner: &roster.Runner{
			ID:            id,
			Service:       service,
			FailureDomain: domain,
			Slots:         8,
			Incarnation:   1,
			Heartbeat:     1,
			Models:        []roster.LoadedModel{{Model: "m", Adapters: []string{"a1"}}},
		},
	}
}

// request returns a request to a path; those to the streaming routes ask for model m.
func (h *harness) request(path string) *dispatch.Request {
	r := &dispatch.Request{
		ID:      "id",
		Method:  http.MethodPost,
		URI:     path,
		Path:    path,
		Host:    "h.example",
		Arrived: h.clock.Now(),
		MaxWait: 5 * time.Second,
	}
	if path == "/stream/" || path == "/once/" {
		r.Model = "m"
	}
	return r
}

// serve handles a request while the clock stands still.
func (h *harness) serve(t *testing.T, path string) {
	t.Helper()
	h.dispatcher.Serve(t.Context(), h.request(path), h.caller)
}

// serveAdvancing handles a request and advances the clock in steps until it has ended.
func (h *harness) serveAdvancing(t *testing.T, ctx context.Context, r *dispatch.Request, step time.Duration) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.dispatcher.Serve(ctx, r, h.caller)
	}()
	require.Eventually(t, func() bool {
		select {
		case <-done:
			return true
		default:
			h.clock.Advance(step)
			return false
		}
	}, waitTimeout, pollInterval)
}
