package plaincall

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/booking"
	"github.com/cowsliparch/cowsliparch/internal/burn"
	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/modelcall"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// KeyHeader carries the caller's idempotency key.
const KeyHeader = "Idempotency-Key"

const maxKeyBytes = 128

// Dependencies holds what a Handler needs.
type Dependencies struct {
	State          func() configuration.State
	View           func() *directory.View
	Service        endpoint.Service
	Claimer        *booking.Claimer
	Burn           *burn.Recorder
	Metrics        *Metrics
	Clock          clockwork.Clock
	Logger         *slog.Logger
	MaxBodyBytes   int64
	BodyTimeout    time.Duration
	WriteTimeout   time.Duration
	OutcomeBytes   int
	OutcomeTimeout time.Duration
}

// Handler serves calls to plain services.
type Handler struct {
	Dependencies
}

// New returns a handler.
func New(d Dependencies) *Handler {
	return &Handler{
		Dependencies: d,
	}
}

// call is a request to a plain service.
type call struct {
	service    configuration.Service
	request    *http.Request
	path       string
	body       []byte
	key        string
	idempotent bool
	arrived    time.Time
}

// Routes returns the handler for /services and /calls.
func (h *Handler) Routes() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/services/{service}", h.serveCall)
	r.HandleFunc("/services/{service}/*", h.serveCall)
	r.Get("/calls/{key}", h.serveLookup)
	return r
}

func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	c, refused := h.readCall(w, r)
	if refused == nil {
		refused = h.dispatch(w, c)
	}
	h.record(c, refused)
	if refused != nil {
		refused.Write(w)
	}
}

func (h *Handler) dispatch(w http.ResponseWriter, c *call) *refusal.Refusal {
	switch {
	case c.idempotent:
		return h.serveIdempotent(w, c)
	case c.key == "":
		return h.serveOnce(w, c)
	default:
		return h.serveKeyed(w, c)
	}
}

func (h *Handler) record(c *call, refused *refusal.Refusal) {
	if c == nil {
		return
	}
	now := h.Clock.Now()
	objective, ok := h.State().Configuration().Objective(c.service.Name, configuration.People)
	h.Metrics.recordCall(c, refused, now.Sub(c.arrived))
	h.Burn.Record(burn.Sample{
		Service: c.service.Name,
		Class:   configuration.People,
		Caller:  modelcall.Caller(c.request),
		Good:    refused == nil && (!ok || now.Sub(c.arrived) <= objective.FirstToken.Duration),
		At:      now,
	})
}

func (h *Handler) readCall(w http.ResponseWriter, r *http.Request) (*call, *refusal.Refusal) {
	arrived := h.Clock.Now()
	name := chi.URLParam(r, "service")
	service, ok := h.State().Configuration().Service(name)
	if !ok || service.Kind != configuration.PlainService {
		return nil, refusal.New(http.StatusNotFound, refusal.UnknownService, "no plain service "+name)
	}
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKeyBytes {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "the idempotency key is too long")
	}
	_ = http.NewResponseController(w).SetReadDeadline(arrived.Add(h.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.TooLarge, err.Error())
	}
	if err != nil {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, err.Error())
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, "/services/"+name), "/")
	return &call{
		service:    service,
		request:    r,
		path:       path,
		body:       body,
		key:        key,
		idempotent: service.IsIdempotent(r.Method, path),
		arrived:    arrived,
	}, nil
}

// outboundRequest returns the request that is sent to the endpoint.
func (c *call) outboundRequest() *http.Request {
	out := c.request.Clone(c.request.Context())
	out.URL.Path = c.path
	out.URL.RawPath = ""
	out.Body = io.NopCloser(bytes.NewReader(c.body))
	out.ContentLength = int64(len(c.body))
	if len(c.body) == 0 {
		out.Body = http.NoBody
	}
	removeHopByHopHeaders(out.Header)
	return out
}
