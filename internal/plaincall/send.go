package plaincall

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/directory"
	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	maxAttempts = 3
	retryAfter  = 2 * time.Second
)

// serveIdempotent tries endpoints in turn until one answers.
func (h *Handler) serveIdempotent(w http.ResponseWriter, c *call) *refusal.Refusal {
	refused := noEndpoint(c)
	for _, e := range h.endpoints(c, maxAttempts) {
		response, err := h.send(c.request.Context(), c, e, false)
		if err != nil {
			refused = unanswered(err)
			continue
		}
		return h.relay(w, response)
	}
	return refused
}

// serveOnce sends a call without a key once; only an endpoint that can't have got any of it is passed over.
func (h *Handler) serveOnce(w http.ResponseWriter, c *call) *refusal.Refusal {
	response, refused := h.sendOnce(c.request.Context(), c)
	if refused != nil {
		return refused
	}
	return h.relay(w, response)
}

func (h *Handler) sendOnce(ctx context.Context, c *call) (*http.Response, *refusal.Refusal) {
	for _, e := range h.endpoints(c, maxAttempts) {
		response, err := h.send(ctx, c, e, true)
		if err == nil {
			return response, nil
		}
		var unsent *endpoint.UnsentError
		if !errors.As(err, &unsent) {
			event.CallUnknown.Log(h.Logger, slog.String("Service", c.service.Name), slog.String("Key", c.key), event.Error(err))
			return nil, unanswered(err)
		}
	}
	return nil, noEndpoint(c)
}

func (h *Handler) send(ctx context.Context, c *call, e *directory.Endpoint, once bool) (*http.Response, error) {
	response, err := h.Service.Forward(ctx, e.VM.Address, c.outbound(), once)
	if ctx.Err() != nil {
		return response, err
	}
	if err == nil {
		e.Load.Succeeded()
		return response, nil
	}
	if e.Load.Failed(h.Clock.Now()) {
		event.EndpointUnreachable.Log(h.Logger, slog.String("Endpoint", e.VM.Name), event.Error(err))
	}
	return nil, err
}

// endpoints returns up to most endpoints that take new work, in random order.
func (h *Handler) endpoints(c *call, most int) []*directory.Endpoint {
	now := h.Clock.Now()
	all := h.View().Service(c.service.Name)
	var out []*directory.Endpoint
	for _, i := range rand.Perm(len(all)) {
		if len(out) == most {
			break
		}
		if !all[i].Leaving() && all[i].Load.Allowed(now) {
			out = append(out, all[i])
		}
	}
	return out
}

// relay passes a response on; a body that breaks off breaks the caller's connection, so that it can't look whole.
func (h *Handler) relay(w http.ResponseWriter, response *http.Response) *refusal.Refusal {
	defer response.Body.Close()
	removeHopHeaders(response.Header)
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			_ = controller.SetWriteDeadline(h.Clock.Now().Add(h.WriteTimeout))
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

const relayBuffer = 16 << 10

func noEndpoint(c *call) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint of "+c.service.Name+" takes calls now").
		WithRetryAfter(retryAfter)
}

func unanswered(err error) *refusal.Refusal {
	var unsent *endpoint.UnsentError
	if errors.As(err, &unsent) {
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint was reached").WithRetryAfter(retryAfter)
	}
	return refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "the call was sent and not answered").WithRan(refusal.Unknown)
}
