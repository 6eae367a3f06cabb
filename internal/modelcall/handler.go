package modelcall

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/admission"
	"github.com/cowsliparch/cowsliparch/internal/burn"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/routing"
)

// CallerHeader names the caller for fair shares; without it the caller's IP address does.
const CallerHeader = "X-Caller"

// Defaults of a model without an objective.
const (
	defaultFirstToken = 10 * time.Second
	maxCallerBytes    = 64
)

// Dependencies is what a handler works with.
type Dependencies[R Remote] struct {
	State      func() configuration.State
	View       func() *directory.View
	Engine     endpoint.Engine
	Neighbours Neighbours[R]
	Burn       *burn.Recorder
	Demand     *Demand
	// Answered is told how long a whole answer took an endpoint's slot.
	Answered     func(model string, took time.Duration)
	Metrics      *Metrics
	Decisions    *Decisions
	Clock        clockwork.Clock
	Logger       *slog.Logger
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
}

// Handler answers calls to models.
type Handler[R Remote] struct {
	Dependencies[R]
	budget *routing.RetryBudget

	mu         sync.Mutex
	admissions map[string]*admission.Controller
}

// New returns a handler.
func New[R Remote](d Dependencies[R]) *Handler[R] {
	return &Handler[R]{
		Dependencies: d,
		budget:       routing.NewRetryBudget(),
		admissions:   make(map[string]*admission.Controller),
	}
}

// ServeHTTP answers a chat-completion request.
func (h *Handler[R]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, refused := h.read(w, r)
	if refused != nil {
		refused.Write(w)
		return
	}
	sink := newHTTPSink(w, h.Clock, h.WriteTimeout, call.RequestID)
	refused = h.Serve(r.Context(), call, sink)
	if refused == nil {
		return
	}
	if !sink.started {
		refused.Write(w)
		return
	}
	if call.Stream {
		_ = sink.Event(refused.Event())
	}
}

func (h *Handler[R]) read(w http.ResponseWriter, r *http.Request) (Call, *refusal.Refusal) {
	arrived := h.Clock.Now()
	_ = http.NewResponseController(w).SetReadDeadline(arrived.Add(h.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Call{}, refusal.New(http.StatusRequestEntityTooLarge, refusal.TooLarge, err.Error())
	}
	if err != nil {
		return Call{}, refusal.New(http.StatusBadRequest, refusal.BadRequest, err.Error())
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return h.Prepare(body, Caller(r), uuid.NewString(), arrived)
}

// Prepare checks a request body against the configuration in force.
func (h *Handler[R]) Prepare(body []byte, caller, requestID string, arrived time.Time) (Call, *refusal.Refusal) {
	decoded, err := decode(body)
	if err != nil {
		return Call{}, refusal.New(http.StatusBadRequest, refusal.BadRequest, err.Error())
	}
	c := h.State().Configuration()
	model, ok := c.Model(decoded.Model)
	if !ok {
		return Call{}, refusal.New(http.StatusNotFound, refusal.UnknownModel, "no model or adapter "+decoded.Model)
	}
	objective, ok := c.Objective(model.Service, model.Class)
	if !ok {
		objective.FirstToken.Duration = defaultFirstToken
	}
	return Call{
		RequestID: requestID,
		Caller:    caller,
		Name:      decoded.Model,
		Model:     model,
		Objective: objective,
		Body:      body,
		Stream:    decoded.Stream,
		Prefill:   len(decoded.Messages) / bytesPerToken,
		Arrived:   arrived,
	}, nil
}

// Caller returns the name under which a request counts for fair shares.
func Caller(r *http.Request) string {
	if name := r.Header.Get(CallerHeader); name != "" {
		return name[:min(len(name), maxCallerBytes)]
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (h *Handler[R]) admission(service string) *admission.Controller {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.admissions[service]
	if !ok {
		c = admission.New(nil)
		h.admissions[service] = c
	}
	return c
}
