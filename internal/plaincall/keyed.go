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

// lookupTimeout is how long a lookup of a key waits for its outcome.
const lookupTimeout = time.Second

// serveKeyed runs a call at most once across all VMs. If another attempt has won the key, it answers with the outcome of
// that attempt.
func (h *Handler) serveKeyed(w http.ResponseWriter, c *call) *refusal.Refusal {
	if h.Claimer.Expired(c.key, c.arrived) {
		return refusal.New(http.StatusGone, refusal.KeyTooOld, "the key is older than keys are remembered").WithRan(refusal.Unknown)
	}
	digest := c.digest()
	ctx, cancel := context.WithTimeout(c.request.Context(), h.OutcomeTimeout)
	defer cancel()
	result, err := h.Claimer.Claim(ctx, c.key, digest)
	if err != nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.ClaimsUnavailable, err.Error()).WithRetryAfter(retryAfter)
	}
	if result.Entry.Digest != digest {
		return refusal.New(http.StatusUnprocessableEntity, refusal.KeyReused, "the key was used for another call")
	}
	if !result.Won {
		return h.answerWithOutcome(ctx, w, c.key)
	}
	if h.Clock.Since(c.arrived) > h.OutcomeTimeout {
		// The process may have been paused; the claim may expire soon, so the call must not be sent any more.
		h.Claimer.Release(result)
		return refusal.New(http.StatusServiceUnavailable, refusal.ClaimsUnavailable, "the claim took too long").WithRetryAfter(retryAfter)
	}
	return h.runClaimed(w, c, result)
}

// digest returns a hash that differs between different calls with the same key.
func (c *call) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.service.Name + "\n" + c.request.Method + "\n" + c.path + "\n" + c.request.URL.RawQuery + "\n")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// runClaimed sends the call of the attempt that won the key. It continues after the caller disconnects, because later calls
// with the key need the outcome.
func (h *Handler) runClaimed(w http.ResponseWriter, c *call, result booking.Result) *refusal.Refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.request.Context()), h.OutcomeTimeout)
	defer cancel()
	response, refused := h.sendOnce(ctx, c)
	if refused != nil && refused.Ran == refusal.NotRun {
		h.Claimer.Release(result)
		return refused
	}
	outcome := claim.Outcome{
		Key:     result.Key,
		Attempt: result.Attempt,
		Unknown: true,
	}
	if refused == nil {
		outcome = h.readOutcome(result, response)
	}
	recordCtx, cancelRecord := context.WithTimeout(context.WithoutCancel(ctx), h.OutcomeTimeout)
	go func() {
		defer cancelRecord()
		if err := h.Claimer.Record(recordCtx, outcome); err != nil {
			event.ClaimsUnavailable.Log(h.Logger, slog.String("Key", c.key), event.Error(err))
		}
	}()
	if refused != nil {
		return refused
	}
	return writeOutcome(w, outcome)
}

// readOutcome converts a response to the outcome that is recorded.
func (h *Handler) readOutcome(result booking.Result, response *http.Response) claim.Outcome {
	defer response.Body.Close()
	outcome := claim.Outcome{
		Key:         result.Key,
		Attempt:     result.Attempt,
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(h.OutcomeBytes)+1))
	if err != nil {
		// The call ran, but its response is incomplete.
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

// answerWithOutcome answers with the outcome of the attempt that won the key; it waits for the outcome until ctx ends.
func (h *Handler) answerWithOutcome(ctx context.Context, w http.ResponseWriter, key string) *refusal.Refusal {
	entry, ok := h.Claimer.Wait(ctx, key)
	if !ok {
		return refusal.New(http.StatusConflict, refusal.OutcomePending, "the other attempt was released; send the call again").WithRetryAfter(retryAfter)
	}
	if entry.Outcome == nil {
		return h.missingOutcomeRefusal(entry)
	}
	return writeOutcome(w, *entry.Outcome)
}

// missingOutcomeRefusal returns the refusal for an attempt without an outcome: the attempt may be running, or its VM may
// have failed.
func (h *Handler) missingOutcomeRefusal(entry claim.Entry) *refusal.Refusal {
	if h.Clock.Since(entry.Claimed) > 2*h.OutcomeTimeout {
		return refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "the call was claimed and its outcome was never recorded").WithRan(refusal.Unknown)
	}
	return refusal.New(http.StatusConflict, refusal.OutcomePending, "the call is under way").WithRan(refusal.Unknown).WithRetryAfter(retryAfter)
}

// writeOutcome answers with a recorded outcome, or returns a refusal if its response was not recorded.
func writeOutcome(w http.ResponseWriter, outcome claim.Outcome) *refusal.Refusal {
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

// serveLookup answers with what is known about a key; it never runs a call.
func (h *Handler) serveLookup(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	entry, ok := h.Claimer.Wait(ctx, chi.URLParam(r, "key"))
	var refused *refusal.Refusal
	switch {
	case !ok:
		refused = refusal.New(http.StatusNotFound, refusal.UnknownKey, "no claim of this key is known here").WithRan(refusal.Unknown)
	case entry.Outcome == nil:
		refused = h.missingOutcomeRefusal(entry)
	default:
		refused = writeOutcome(w, *entry.Outcome)
	}
	if refused != nil {
		refused.Write(w)
	}
}
