package plaincall

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/cowsliparch/cowsliparch/internal/booking"
	"github.com/cowsliparch/cowsliparch/internal/claim"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

// lookupTimeout is how long a question for an outcome waits for it.
const lookupTimeout = time.Second

// serveKeyed runs a call at most once over all VMs, or answers with the outcome of the attempt that won.
func (h *Handler) serveKeyed(w http.ResponseWriter, c *call) *refusal.Refusal {
	if h.Counter.TooOld(c.key, c.arrived) {
		return refusal.New(http.StatusGone, refusal.KeyTooOld, "the key is older than keys are remembered").WithRan(refusal.Unknown)
	}
	digest := c.digest()
	ctx, cancel := context.WithTimeout(c.request.Context(), h.OutcomeTimeout)
	defer cancel()
	ticket, err := h.Counter.Claim(ctx, c.key, digest)
	if err != nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.ClaimsUnavailable, err.Error()).WithRetryAfter(retryAfter)
	}
	if ticket.Entry.Digest != digest {
		return refusal.New(http.StatusUnprocessableEntity, refusal.KeyReused, "the key was used for another call")
	}
	if !ticket.Won {
		return h.answerRecorded(ctx, w, c.key)
	}
	if h.Clock.Since(c.arrived) > h.OutcomeTimeout {
		// A process that was paused this long must not act on a claim that may be about to be forgotten.
		h.Counter.Release(ticket)
		return refusal.New(http.StatusServiceUnavailable, refusal.ClaimsUnavailable, "the claim took too long").WithRetryAfter(retryAfter)
	}
	return h.runClaimed(w, c, ticket)
}

// digest tells apart two calls that share a key.
func (c *call) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.service.Name + "\n" + c.request.Method + "\n" + c.path + "\n" + c.request.URL.RawQuery + "\n")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// runClaimed sends the one attempt that won the key. It goes on when the caller leaves: the outcome is owed to whoever asks.
func (h *Handler) runClaimed(w http.ResponseWriter, c *call, ticket booking.Ticket) *refusal.Refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.request.Context()), h.OutcomeTimeout)
	defer cancel()
	response, refused := h.sendOnce(ctx, c)
	if refused != nil && refused.Ran == refusal.NotRun {
		h.Counter.Release(ticket)
		return refused
	}
	outcome := claim.Outcome{
		Key:     ticket.Key,
		Attempt: ticket.Attempt,
		Unknown: true,
	}
	if refused == nil {
		outcome = h.outcome(ticket, response)
	}
	recording, stop := context.WithTimeout(context.WithoutCancel(ctx), h.OutcomeTimeout)
	go func() {
		defer stop()
		if err := h.Counter.Record(recording, outcome); err != nil {
			event.ClaimsUnavailable.Log(h.Logger, slog.String("Key", c.key), event.Error(err))
		}
	}()
	if refused != nil {
		return refused
	}
	return answer(w, outcome)
}

// outcome reads a response into the form that is recorded.
func (h *Handler) outcome(ticket booking.Ticket, response *http.Response) claim.Outcome {
	defer response.Body.Close()
	outcome := claim.Outcome{
		Key:         ticket.Key,
		Attempt:     ticket.Attempt,
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(h.OutcomeBytes)+1))
	if err != nil {
		// The call ran, but its answer did not arrive whole.
		outcome.Unknown = true
		return outcome
	}
	if len(body) > h.OutcomeBytes {
		outcome.BodyDropped = true
		return outcome
	}
	outcome.Body = body
	return outcome
}

// answerRecorded answers with the outcome of the attempt that won, waiting for it while there is time.
func (h *Handler) answerRecorded(ctx context.Context, w http.ResponseWriter, key string) *refusal.Refusal {
	entry, ok := h.Counter.Wait(ctx, key)
	if !ok {
		return refusal.New(http.StatusConflict, refusal.OutcomePending, "the other attempt was released; send the call again").WithRetryAfter(retryAfter)
	}
	if entry.Outcome == nil {
		return h.withoutOutcome(entry)
	}
	return answer(w, *entry.Outcome)
}

// withoutOutcome answers for an attempt that may be under way, or whose VM died.
func (h *Handler) withoutOutcome(entry claim.Entry) *refusal.Refusal {
	if h.Clock.Since(entry.Claimed) > 2*h.OutcomeTimeout {
		return refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "the call was claimed and its outcome was never recorded").WithRan(refusal.Unknown)
	}
	return refusal.New(http.StatusConflict, refusal.OutcomePending, "the call is under way").WithRan(refusal.Unknown).WithRetryAfter(retryAfter)
}

func answer(w http.ResponseWriter, outcome claim.Outcome) *refusal.Refusal {
	if outcome.Unknown {
		return refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "the call was sent and its answer did not arrive").WithRan(refusal.Unknown)
	}
	if outcome.BodyDropped {
		return refusal.New(http.StatusBadGateway, refusal.OutcomeTooLarge, "the call ran; its answer was too large to keep").WithRan(refusal.Executed)
	}
	if outcome.ContentType != "" {
		w.Header().Set("Content-Type", outcome.ContentType)
	}
	w.WriteHeader(outcome.Status)
	_, _ = w.Write(outcome.Body)
	return nil
}

// serveLookup answers what is known of a key, without running anything.
func (h *Handler) serveLookup(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	entry, ok := h.Counter.Wait(ctx, chi.URLParam(r, "key"))
	var refused *refusal.Refusal
	switch {
	case !ok:
		refused = refusal.New(http.StatusNotFound, refusal.UnknownKey, "no claim of this key is known here").WithRan(refusal.Unknown)
	case entry.Outcome == nil:
		refused = h.withoutOutcome(entry)
	default:
		refused = answer(w, *entry.Outcome)
	}
	if refused != nil {
		refused.Write(w)
	}
}
