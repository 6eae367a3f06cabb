package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	// bodyTimeout limits the time in which a request must arrive.
	bodyTimeout = 5 * time.Second
	// busyRetryAfter is the time after which a VM that has too many requests of others may have fewer.
	busyRetryAfter = 200 * time.Millisecond
)

// Options holds what a Handler needs.
type Options struct {
	// Serve handles a request of another VM and writes the response; ctx ends when that VM breaks off the request.
	Serve func(ctx context.Context, r *dispatch.Request, caller dispatch.Caller)
	// BodyLimit returns the size limit of request bodies that is in effect.
	BodyLimit func() int64
	// ProxyingEnded reports whether a stop of this VM has come so far that no further request is taken.
	ProxyingEnded func() bool
	// MaxRequests and MaxBytes limit the requests in progress and their bytes.
	MaxRequests int
	MaxBytes    int64
	Metrics     *Metrics
	Clock       clockwork.Clock
}

// Handler is an http.Handler that serves requests of other VMs.
type Handler struct {
	Options
	bounds bounds
}

// NewHandler returns a handler with the given options.
func NewHandler(o Options) *Handler {
	return &Handler{
		Options: o,
		bounds: bounds{
			maxRequests: o.MaxRequests,
			maxBytes:    o.MaxBytes,
		},
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &caller{
		writer:     w,
		controller: http.NewResponseController(w),
		clock:      h.Clock,
	}
	if h.ProxyingEnded() {
		w.Header().Set("Connection", "close")
	}
	_ = c.controller.SetReadDeadline(h.Clock.Now().Add(bodyTimeout))
	if refused := h.admit(r); refused != nil {
		h.refuse(c, r, refused)
		return
	}
	defer h.bounds.release(r.ContentLength)
	request, refused := h.decode(r)
	if refused != nil {
		h.refuse(c, r, refused)
		return
	}
	_ = c.controller.SetReadDeadline(time.Time{})
	h.Serve(r.Context(), request, c)
	c.end()
	h.Metrics.served(c.outcome())
	if c.incomplete() {
		panic(http.ErrAbortHandler)
	}
}

// admit refuses a request, or counts it until its size is released from the bounds.
func (h *Handler) admit(r *http.Request) *refusal.Refusal {
	switch {
	case r.Method != http.MethodPost || r.Header.Get("Content-Type") != contentType || r.ContentLength < 0:
		return refusal.New(http.StatusBadRequest, refusal.BadRequest, "this is no request of an entry VM")
	case h.ProxyingEnded():
		return refusal.New(http.StatusServiceUnavailable, refusal.Stopping, "this VM is about to stop")
	case r.ContentLength > h.BodyLimit()+maxHeadBytes+prefixBytes:
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.TooLarge, "request exceeds the size limit of this VM")
	case !h.bounds.take(r.ContentLength):
		return refusal.New(http.StatusServiceUnavailable, refusal.TooManyCalls, "this VM has too many requests of other VMs").
			WithRetryAfter(busyRetryAfter)
	default:
		return nil
	}
}

// decode reads a request.
func (h *Handler) decode(r *http.Request) (*dispatch.Request, *refusal.Refusal) {
	arrived := h.Clock.Now()
	var head requestHead
	n, err := readHead(r.Body, &head, nil)
	if err != nil {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "request of another VM can't be decoded: "+err.Error())
	}
	if head.Proxied.VM == "" {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "request of another VM doesn't name that VM")
	}
	size := r.ContentLength - int64(n)
	if size > h.BodyLimit() {
		return nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.TooLarge, "request exceeds the size limit of this VM")
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "request of another VM is incomplete: "+err.Error())
	}
	// Reading on to the end lets the server notice when the other VM breaks off the request.
	_, _ = io.Copy(io.Discard, r.Body)
	return head.request(body, arrived), nil
}

// refuse answers a request that was not passed on. A response would be lost if the request was not read before it.
func (h *Handler) refuse(c *caller, r *http.Request, refused *refusal.Refusal) {
	_, _ = io.Copy(io.Discard, r.Body)
	_ = c.controller.SetReadDeadline(time.Time{})
	c.Refuse(refused)
	c.end()
	h.Metrics.served(c.outcome())
}
