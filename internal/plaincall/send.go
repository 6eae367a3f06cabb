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

// serveIdempotent tries up to maxAttempts endpoints until one answers.
func (h *Handler) serveIdempotent(w http.ResponseWriter, c *call) *refusal.Refusal {
	refused := noEndpointRefusal(c)
	for _, e := range h.endpoints(c, maxAttempts) {
		response, err := h.send(c.request.Context(), c, e, false)
		if err != nil {
			refused = sendErrorRefusal(err)
			continue
		}
		return h.relay(w, response)
	}
	return refused
}

// serveOnce serves a call that is not idempotent and has no key. It tries another endpoint only if no byte of the call can
// have reached the one before.
func (h *Handler) serveOnce(w http.ResponseWriter, c *call) *refusal.Refusal {
	response, refused := h.sendOnce(c.request.Context(), c)
	if refused != nil {
		return refused
	}
	return h.relay(w, response)
}

// sendOnce tries up to maxAttempts endpoints until one may have received the call.
func (h *Handler) sendOnce(ctx context.Context, c *call) (*http.Response, *refusal.Refusal) {
	for _, e := range h.endpoints(c, maxAttempts) {
		response, err := h.send(ctx, c, e, true)
		if err == nil {
			return response, nil
		}
		var notSent *endpoint.NotSentError
		if !errors.As(err, &notSent) {
			event.CallUnknown.Log(h.Logger, slog.String("Service", c.service.Name), slog.String("Key", c.key), event.Error(err))
			return nil, sendErrorRefusal(err)
		}
	}
	return nil, noEndpointRefusal(c)
}

// send forwards a call to an endpoint and, unless ctx has ended, reports the result to its circuit breaker.
func (h *Handler) send(ctx context.Context, c *call, e *directory.Endpoint, once bool) (*http.Response, error) {
	response, err := h.Service.Forward(ctx, e.VM.Address, c.outboundRequest(), once)
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

// endpoints returns up to limit endpoints that accept new calls, in random order.
func (h *Handler) endpoints(c *call, limit int) []*directory.Endpoint {
	now := h.Clock.Now()
	all := h.View().Service(c.service.Name)
	var picked []*directory.Endpoint
	for _, i := range rand.Perm(len(all)) {
		if len(picked) == limit {
			break
		}
		if !all[i].Leaving() && all[i].Load.Allowed(now) {
			picked = append(picked, all[i])
		}
	}
	return picked
}

// relay copies a response to the caller, its head with the first part of its body. A response that breaks off before that is
// refused. If it breaks off later, relay aborts the caller's connection, so that the caller does not take the response for a
// complete one.
func (h *Handler) relay(w http.ResponseWriter, response *http.Response) *refusal.Refusal {
	defer response.Body.Close()
	controller := http.NewResponseController(w)
	buffer := make([]byte, relayBufferBytes)
	for started := false; ; {
		n, err := response.Body.Read(buffer)
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended && n == 0 && !started {
			return refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "the answer broke off").WithRan(refusal.Unknown)
		}
		if !started && (n > 0 || ended) {
			started = true
			writeHead(w, response)
		}
		if n > 0 {
			_ = controller.SetWriteDeadline(h.Clock.Now().Add(h.WriteTimeout))
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if ended {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func writeHead(w http.ResponseWriter, response *http.Response) {
	removeHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
}

const relayBufferBytes = 16 << 10

func noEndpointRefusal(c *call) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint of "+c.service.Name+" takes calls now").
		WithRetryAfter(retryAfter)
}

// sendErrorRefusal returns the refusal for an error of send.
func sendErrorRefusal(err error) *refusal.Refusal {
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) {
		return refusal.New(http.StatusServiceUnavailable, refusal.NoEndpoint, "no endpoint was reached").WithRetryAfter(retryAfter)
	}
	return refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "the call was sent and not answered").WithRan(refusal.Unknown)
}
