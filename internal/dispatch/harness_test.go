package dispatch_test

import (
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

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	waitLimit = 20 * time.Second
	tick      = 2 * time.Millisecond
)

// play answers one send.
type play func(ctx context.Context, r *dispatch.Request, try dispatch.Try) (*dispatch.Answer, error)

// sends is what reached the runners, in order.
type sends struct {
	mu      sync.Mutex
	plays   []play
	runners []string
	tries   []dispatch.Try
	closed  []bool
}

func (s *sends) Send(ctx context.Context, to *roster.Runner, r *dispatch.Request, try dispatch.Try) (*dispatch.Answer, error) {
	s.mu.Lock()
	n := len(s.runners)
	s.runners = append(s.runners, to.ID)
	s.tries = append(s.tries, try)
	s.closed = append(s.closed, false)
	p := s.plays[min(n, len(s.plays)-1)]
	s.mu.Unlock()
	answer, err := p(ctx, r, try)
	if answer != nil {
		answer.Close = func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.closed[n] = true
		}
	}
	return answer, err
}

func (s *sends) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runners)
}

func whole(status int, body string) play {
	return func(context.Context, *dispatch.Request, dispatch.Try) (*dispatch.Answer, error) {
		return &dispatch.Answer{
			Status: status,
			Header: http.Header{"Signature": {"s"}},
			Length: int64(len(body)),
			Body:   &pieces{list: []string{body}},
		}, nil
	}
}

func declined(status int) play {
	return func(context.Context, *dispatch.Request, dispatch.Try) (*dispatch.Answer, error) {
		return &dispatch.Answer{
			Status:      status,
			NotRun:      true,
			Misdirected: status == http.StatusMisdirectedRequest,
			Body:        &pieces{},
		}, nil
	}
}

func lost(context.Context, *dispatch.Request, dispatch.Try) (*dispatch.Answer, error) {
	return nil, &endpoint.UnansweredError{Cause: io.ErrUnexpectedEOF}
}

func unsent(context.Context, *dispatch.Request, dispatch.Try) (*dispatch.Answer, error) {
	return nil, &endpoint.UnsentError{Cause: io.ErrClosedPipe}
}

// stream answers with pieces and then an error; io.EOF ends it whole.
func stream(end error, list ...string) play {
	return func(context.Context, *dispatch.Request, dispatch.Try) (*dispatch.Answer, error) {
		return &dispatch.Answer{
			Status: http.StatusOK,
			Length: -1,
			Body:   &pieces{list: list, end: end},
		}, nil
	}
}

// hang answers nothing until the context ends.
func hang(ctx context.Context, _ *dispatch.Request, _ dispatch.Try) (*dispatch.Answer, error) {
	<-ctx.Done()
	return nil, &endpoint.UnansweredError{Cause: context.Cause(ctx)}
}

type pieces struct {
	list []string
	end  error
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.list) == 0 {
		if p.end != nil {
			return 0, p.end
		}
		return 0, io.EOF
	}
	n := copy(b, p.list[0])
	p.list = p.list[1:]
	return n, nil
}

// caller keeps what it got.
type caller struct {
	mu      sync.Mutex
	status  int
	body    string
	refused *refusal.Refusal
	aborted bool
	fail    bool
}

var errGone = errors.New("the caller is gone")

func (c *caller) Begin(status int, _ http.Header, _ int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
	return nil
}

func (c *caller) Write(piece []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fail {
		return errGone
	}
	c.body += string(piece)
	return nil
}

func (c *caller) Refuse(r *refusal.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = r
}

func (c *caller) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
}

// noted keeps what the dispatcher found missing.
type noted struct {
	mu      sync.Mutex
	missing []string
}

func (n *noted) Asked(string, string, string)             {}
func (n *noted) Took(string, string, time.Duration, bool) {}
func (n *noted) Missing(_, model, adapter string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.missing = append(n.missing, model+"/"+adapter)
}

// harness is a dispatcher before two runners of each service.
type harness struct {
	sends   *sends
	caller  *caller
	noted   *noted
	clock   *clockwork.FakeClock
	tracker *dispatch.Tracker
	roster  *roster.Roster
	budget  *dispatch.Budget
	catalog *catalog.Catalog
	d       *dispatch.Dispatcher
}

func route(prefix string, kind catalog.Kind, resumable bool, sends int) catalog.Route {
	service := "plain"
	if kind == catalog.Streaming {
		service = "models"
	}
	return catalog.Route{
		Name:       prefix,
		Host:       "h.example",
		PathPrefix: prefix,
		Kind:       kind,
		Resumable:  resumable,
		Timeout:    10 * time.Second,
		Objective:  400 * time.Millisecond,
		MaxSends:   sends,
		Targets:    []catalog.Target{{Service: service, Weight: 1}},
	}
}

func newHarness(t *testing.T, plays ...play) *harness {
	t.Helper()
	clock := clockwork.NewFakeClock()
	h := &harness{
		sends:  &sends{plays: plays},
		caller: &caller{},
		noted:  &noted{},
		clock:  clock,
		tracker: dispatch.NewTracker(dispatch.Distances{
			FailureDomain: "a",
			Regions:       map[string]string{"a": "r", "b": "s"},
		}),
		roster: roster.New(),
		budget: dispatch.NewBudget(dispatch.BudgetLimits{
			Window: 10 * time.Second,
			Ratio:  0.2,
			Slack:  50,
		}, clock.Now()),
		catalog: catalog.New(7, catalog.Limits{}, []catalog.Route{
			route("/safe/", catalog.Safe, false, 2),
			route("/unsafe/", catalog.Unsafe, false, 2),
			route("/stream/", catalog.Streaming, true, 2),
			route("/once/", catalog.Streaming, false, 2),
		}, []catalog.Service{
			{Name: "plain"},
			{Name: "models", Engine: &catalog.Engine{}},
		}),
	}
	h.roster.Apply([]roster.Change{
		runner("p1", "plain", "a"), runner("p2", "plain", "b"),
		runner("m1", "models", "a"), runner("m2", "models", "b"),
	}, clock.Now())
	h.d = dispatch.New(dispatch.Dependencies{
		Catalog: func() *catalog.Catalog { return h.catalog },
		Roster:  h.roster.View,
		VMs:     func() int { return 1 },
		Tracker: h.tracker,
		Budget:  h.budget,
		Sender:  h.sends,
		Wants:   h.noted,
		Metrics: dispatch.NewMetrics(prometheus.NewRegistry()),
		Clock:   clock,
		Logger:  slog.New(slog.DiscardHandler),
	})
	return h
}

func runner(id, service, domain string) roster.Change {
	return roster.Change{
		ID: id,
		Runner: &roster.Runner{
			ID:            id,
			Service:       service,
			FailureDomain: domain,
			Slots:         8,
			Born:          1,
			Heartbeat:     1,
			Models:        []roster.Holding{{Model: "m", Adapters: []string{"a1"}}},
		},
	}
}

func (h *harness) request(path string) *dispatch.Request {
	r := &dispatch.Request{
		ID:      "id",
		Method:  http.MethodPost,
		URI:     path,
		Path:    path,
		Host:    "h.example",
		Arrived: h.clock.Now(),
		Left:    5 * time.Second,
	}
	if path == "/stream/" || path == "/once/" {
		r.Model = "m"
	}
	return r
}

// serve answers a request while the clock stands.
func (h *harness) serve(t *testing.T, path string) {
	t.Helper()
	h.d.Serve(t.Context(), h.request(path), h.caller)
}

// serveAdvancing answers a request while time passes in steps until it is answered.
func (h *harness) serveAdvancing(t *testing.T, ctx context.Context, r *dispatch.Request, step time.Duration) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.d.Serve(ctx, r, h.caller)
	}()
	require.Eventually(t, func() bool {
		select {
		case <-done:
			return true
		default:
			h.clock.Advance(step)
			return false
		}
	}, waitLimit, tick)
}
