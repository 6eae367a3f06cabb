package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	// maxBufferedBytes limits a response that is read completely before any of it is passed on.
	maxBufferedBytes = 1 << 20
	// maxUnboundedBytes limits a response that does not state its length and is not a stream.
	maxUnboundedBytes = 64 << 20
	// deadlineTolerance is how long before the deadline the runner's clock may find the time over.
	deadlineTolerance = 20 * time.Millisecond
	// maxFirstTokenWork is how long a runner works on a request at most before it sends the first data; beyond that, the request
	// waited for a slot.
	maxFirstTokenWork = 150 * time.Millisecond
)

// BodyTooLargeError reports a response without a stated length that did not end within the limit.
type BodyTooLargeError struct {
	Limit int
}

// Error implements error.
func (e *BodyTooLargeError) Error() string { return "response does not end within the size limit" }

// handleBody handles a part of the body of a response.
func (c *call) handleBody(ctx context.Context, a *attempt, u update) (bool, *refusal.Refusal) {
	if evicted := a.share.Evicted(); evicted != nil {
		return c.handleBreak(a, evicted)
	}
	if c.streams(a.response) {
		return c.relayEvents(ctx, a, u)
	}
	return c.relayWhole(a, u)
}

// relayEvents passes on the events that are complete.
func (c *call) relayEvents(ctx context.Context, a *attempt, u update) (bool, *refusal.Refusal) {
	events, err := a.feed(u)
	if err == nil {
		err = a.hold(events)
	}
	if err != nil {
		return c.handleBreak(a, err)
	}
	a.answered = a.answered || len(events) > 0
	if a.answered && len(u.data) > 0 {
		c.recordProgress(a, a.progress.WithData(a.lastUpdate))
	}
	if id := a.events.firstID; id != "" && !a.numbered {
		a.numbered = true
		if !follows(c.lastEventID, id) {
			return c.handleBreak(a, &ResumeError{
				Status:      a.response.Status,
				ContentType: c.contentType,
				EventID:     id,
			})
		}
	}
	if len(events) > 0 {
		if !c.passOn(a, events, -1) {
			return true, nil
		}
		_ = a.hold(nil)
	}
	if a.complete(u.err) && a.answered {
		c.recordEnd(a)
	}
	if c.endedForTime(a, u) {
		return c.handleLateEnd(a)
	}
	switch {
	case u.err == nil:
		if a.eventOverdue(a.lastUpdate) && a == c.current && c.standby == nil && c.route.Idempotent() {
			c.startStandby(ctx)
		}
		return false, nil
	case !a.complete(u.err):
		a.response.Close()
		return c.handleBreak(a, u.err)
	case !a.answered && a.response.EndUnmarked:
		// A stream has at least one event.
		return c.handleBreak(a, io.ErrUnexpectedEOF)
	case !a.begun && c.endUnconfirmed:
		// No event follows the last one, so the stream was complete before.
		c.prefer(a)
		c.recordAnswered(a)
		return true, nil
	case !a.begun && (c.responseStarted || a == c.standby):
		// Nothing shows that the stream was complete before.
		return c.handleBreak(a, &ResumeError{
			Status:      a.response.Status,
			ContentType: a.response.Header.Get("Content-Type"),
		})
	case !a.begun && !c.passOn(a, a.held, -1):
		return true, nil
	default:
		c.recordAnswered(a)
		return true, nil
	}
}

// relayWhole collects a response until its end, so that no caller gets a truncated one. One that is too large to collect, by itself or
// together with all others, is passed on as it arrives, and broken off if it has no stated length and does not end.
func (c *call) relayWhole(a *attempt, u update) (bool, *refusal.Refusal) {
	a.bodyBytes += len(u.data)
	if a.response.Length < 0 && a.bodyBytes > maxUnboundedBytes {
		return c.handleBreak(a, &BodyTooLargeError{Limit: maxUnboundedBytes})
	}
	a.body = append(a.body, u.data...)
	ended := errors.Is(u.err, io.EOF)
	if ended {
		c.recordEnd(a)
	} else if len(u.data) > 0 {
		c.recordProgress(a, a.progress.WithData(a.lastUpdate))
	}
	if u.err != nil && !ended {
		return c.handleBreak(a, u.err)
	}
	if c.endedForTime(a, u) {
		return c.handleLateEnd(a)
	}
	if !ended && !a.begun && len(a.body) <= maxBufferedBytes && a.tryHold() {
		return false, nil
	}
	length := a.response.Length
	if ended {
		length = int64(a.bodyBytes)
	}
	if !c.passOn(a, a.body, length) {
		return true, nil
	}
	a.body = nil
	_ = a.hold(nil)
	if !ended {
		return false, nil
	}
	if a.response.Status >= http.StatusMultipleChoices {
		c.outcome = Failed
	} else {
		c.recordAnswered(a)
	}
	return true, nil
}

// endedForTime reports whether the runner may have ended a response because its time was over: nothing else marks the end.
func (c *call) endedForTime(a *attempt, u update) bool {
	return a.response.EndUnmarked && errors.Is(u.err, io.EOF) && !u.at.Before(c.deadline.Add(-deadlineTolerance))
}

// handleLateEnd handles a response that may have been ended at the deadline.
func (c *call) handleLateEnd(a *attempt) (bool, *refusal.Refusal) {
	c.recordSendFailure(a.pick, &endpoint.TruncatedError{Cause: errDeadline})
	c.end(a)
	if c.inProgress() {
		return false, nil
	}
	return true, refusal.New(http.StatusGatewayTimeout, refusal.TooLate, errDeadline.Cause).WithRan(refusal.Unknown)
}

// passOn sends a part of the body of an attempt to the caller, after the head if none was sent before, and ends the other attempt.
// It reports whether the caller still receives.
func (c *call) passOn(a *attempt, piece []byte, length int64) bool {
	c.prefer(a)
	if c.responseStarted && !a.begun {
		c.recordResume(a.pick)
		piece = bytes.TrimPrefix(piece, []byte(byteOrderMark))
	}
	if !a.begun {
		c.observeRunner(a)
	}
	a.begun = true
	c.endUnconfirmed = false
	c.bindRelease(a)
	c.recordWrite(c.d.Clock.Now())
	if !c.responseStarted {
		c.responseStarted = true
		c.status, c.contentType = a.response.Status, a.response.Header.Get("Content-Type")
		if c.caller.WriteHeader(a.response.Status, a.response.Header, length) != nil {
			c.outcome = Left
			return false
		}
	}
	if len(piece) == 0 {
		return true
	}
	if a.events.lastID != "" {
		c.lastEventID = a.events.lastID
	}
	c.unnumbered = a.events.unnumbered
	if c.write(a, piece) != nil {
		if evicted := a.share.Evicted(); evicted != nil {
			c.abort(evicted.Error())
		} else {
			c.outcome = Left
		}
		return false
	}
	return true
}

// write sends a part of the body to the caller and counts its bytes. Eviction of the attempt's response interrupts it.
func (c *call) write(a *attempt, piece []byte) error {
	a.writing.Store(true)
	defer a.writing.Store(false)
	if evicted := a.share.Evicted(); evicted != nil {
		return evicted
	}
	if err := c.caller.Write(piece); err != nil {
		return err
	}
	c.delivered += len(piece)
	return nil
}

// recordWrite notes the time of a write to the caller.
func (c *call) recordWrite(now time.Time) {
	if c.firstByteAt.IsZero() {
		c.firstByteAt = now
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.lastWriteAt))
	}
	c.lastWriteAt = now
}
