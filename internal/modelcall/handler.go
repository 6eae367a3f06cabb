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

// CallerHeader names the caller that a request counts towards in fair sharing; without it, the caller's IP address is used.
const CallerHeader = "X-Caller"

const (
	// defaultFirstToken is the time to the first token allowed to a model without an objective.
	defaultFirstToken = 10 * time.Second
	// maxCallerBytes is the length to which names of callers are truncated.
	maxCallerBytes = 64
)

// Dependencies holds what a Handler needs.
type Dependencies[R Remote] struct {
	State   func() configuration.State
	View    func() *directory.View
	Engine  endpoint.Engine
	Remotes Remotes[R]
	Burn    *burn.Recorder
	Demand  *Demand
	// OnAnswered is called after each complete answer of a local endpoint with the time for which it occupied a slot there.
	OnAnswered   func(model string, took time.Duration)
	Metrics      *Metrics
	Decisions    *Decisions
	Clock        clockwork.Clock
	Logger       *slog.Logger
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
}

// Handler serves calls to models.
type Handler[R Remote] struct {
	Dependencies[R]
	retryBudget *routing.RetryBudget

	mu                 sync.Mutex
	admissionByService map[string]*admission.Controller
}

// New returns a handler.
func New[R Remote](d Dependencies[R]) *Handler[R] {
	return &Handler[R]{
		Dependencies:       d,
		retryBudget:        routing.NewRetryBudget(),
		admissionByService: make(map[string]*admission.Controller),
	}
}

// ServeHTTP answers a chat-completion request.
func (h *Handler[R]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, refused := h.readCall(w, r)
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

func (h *Handler[R]) readCall(w http.ResponseWriter, r *http.Request) (Call, *refusal.Refusal) {
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

// Prepare decodes a request body and looks up its model and objective in the current configuration.
func (h *Handler[R]) Prepare(body []byte, caller, requestID string, arrived time.Time) (Call, *refusal.Refusal) {
	decoded, err := decodeRequest(body)
	if err != nil {
		return Call{}, refusal.New(http.StatusBadRequest, refusal.BadRequest, err.Error())
	}
	cfg := h.State().Configuration()
	model, ok := cfg.Model(decoded.Model)
	if !ok {
		return Call{}, refusal.New(http.StatusNotFound, refusal.UnknownModel, "no model or adapter "+decoded.Model)
	}
	objective, ok := cfg.Objective(model.Service, model.Class)
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

// Caller returns the name under which a request counts towards its caller's fair share.
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

func (h *Handler[R]) admissionController(service string) *admission.Controller {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.admissionByService[service]
	if !ok {
		c = admission.New(nil)
		h.admissionByService[service] = c
	}
	return c
}
