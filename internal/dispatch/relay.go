package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/endpoint"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
)

const (
	// chunkBytes is how much of a stream is read at once; chunkQueue is how many chunks may wait for the caller.
	chunkBytes = 4 << 10
	chunkQueue = 4
	// streamStall is how long a runner may send nothing at all before its resumable streams move to another one.
	streamStall = time.Second
	// eventStall is how long a runner may take to send the bytes of one event before the stream moves, if it can be resumed.
	eventStall = 2 * time.Second
	// maxUnboundedBytes limits a response that does not state its length and is not a stream.
	maxUnboundedBytes = 64 << 20
)

// relayBuffered reads a response to its end before passing it on, so that no caller gets a truncated one.
func (c *call) relayBuffered(ctx context.Context, pick choice, response *Response) (bool, *refusal.Refusal) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil {
		return c.handleTruncation(ctx, pick, err)
	}
	if len(body) > maxBufferedBytes {
		return c.relayUnbuffered(ctx, pick, response, body)
	}
	c.firstByteAt = c.d.Clock.Now()
	c.status = response.Status
	c.recordComplete(pick, response.Status)
	if c.caller.WriteHeader(response.Status, response.Header, int64(len(body))) != nil || c.write(body) != nil {
		c.outcome = Left
	}
	return false, nil
}

// write sends a part of the body to the caller and counts its bytes.
func (c *call) write(piece []byte) error {
	if err := c.caller.Write(piece); err != nil {
		return err
	}
	c.delivered += len(piece)
	return nil
}

// recordComplete records that a runner's response was received to its end.
func (c *call) recordComplete(pick choice, status int) {
	if status >= http.StatusMultipleChoices {
		c.outcome = Failed
		return
	}
	c.outcome = Answered
	c.d.Tracker.recordResult(pick.runner, true, c.d.Clock.Now())
}

// BodyTooLargeError reports a response without a stated length that did not end within the limit.
type BodyTooLargeError struct {
	Limit int
}

// Error implements error.
func (e *BodyTooLargeError) Error() string { return "response does not end within the size limit" }

// relayUnbuffered relays a response that is too large to buffer as it arrives. It breaks off a response that has no stated length
// and does not end.
func (c *call) relayUnbuffered(ctx context.Context, pick choice, response *Response, buffered []byte) (bool, *refusal.Refusal) {
	c.responseStarted = true
	c.firstByteAt = c.d.Clock.Now()
	c.status = response.Status
	if c.caller.WriteHeader(response.Status, response.Header, response.Length) != nil || c.write(buffered) != nil {
		c.outcome = Left
		return false, nil
	}
	buffer := make([]byte, chunkBytes)
	for relayed := len(buffered); ; {
		n, err := response.Body.Read(buffer)
		if relayed += n; response.Length < 0 && relayed > maxUnboundedBytes {
			err = &BodyTooLargeError{Limit: maxUnboundedBytes}
		}
		if n > 0 && c.write(buffer[:n]) != nil {
			c.outcome = Left
			return false, nil
		}
		if errors.Is(err, io.EOF) {
			c.recordComplete(pick, response.Status)
			return false, nil
		}
		if err != nil {
			if ctx.Err() == nil {
				c.recordSendFailure(pick, &endpoint.TruncatedError{Cause: err})
				c.d.Tracker.recordResult(pick.runner, false, c.d.Clock.Now())
			}
			return false, refusal.New(http.StatusBadGateway, refusal.AnswerBroken, "the answer broke off")
		}
	}
}

// handleTruncation handles a response that ended early, after the caller received none of it or only complete events.
func (c *call) handleTruncation(ctx context.Context, pick choice, err error) (bool, *refusal.Refusal) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) {
		return false, nil
	}
	c.recordSendFailure(pick, &endpoint.TruncatedError{Cause: err})
	c.d.Tracker.recordResult(pick.runner, false, c.d.Clock.Now())
	return c.retryOrFail("the answer broke off")
}

// relayStream relays complete events as they arrive.
func (c *call) relayStream(ctx context.Context, pick choice, response *Response) (bool, *refusal.Refusal) {
	if !c.responseStarted {
		c.responseStarted = true
		c.status = response.Status
		if c.caller.WriteHeader(response.Status, response.Header, -1) != nil {
			c.outcome = Left
			return false, nil
		}
	} else {
		c.recordResume(pick)
	}
	c.events.pending = nil
	c.pendingSince = time.Time{}
	chunks := make(chan chunk, chunkQueue)
	stop := make(chan struct{})
	defer close(stop)
	go readChunks(response.Body, chunks, stop)
	for {
		next, ok := c.nextChunk(ctx, pick, chunks)
		if !ok {
			response.Close()
			return c.handleTruncation(ctx, pick, errStalled)
		}
		if len(next.data) > 0 {
			if disconnected, err := c.forwardEvents(next.data); disconnected {
				return false, nil
			} else if err != nil {
				return c.handleTruncation(ctx, pick, err)
			}
			if c.eventStalled() && next.err == nil {
				return c.handleTruncation(ctx, pick, errStalled)
			}
		}
		if errors.Is(next.err, io.EOF) && len(c.events.pending) == 0 {
			c.d.Tracker.recordResult(pick.runner, true, c.d.Clock.Now())
			c.outcome = Answered
			return false, nil
		}
		if next.err != nil {
			response.Close()
			return c.handleTruncation(ctx, pick, next.err)
		}
	}
}

// forwardEvents passes on the events that data completes; disconnected is set if the caller accepts no more.
func (c *call) forwardEvents(data []byte) (disconnected bool, err error) {
	events, err := c.events.feed(data)
	if err != nil || len(events) == 0 {
		return false, err
	}
	c.pendingSince = time.Time{}
	c.recordWrite(c.d.Clock.Now())
	if c.write(events) != nil {
		c.outcome = Left
		return true, nil
	}
	return false, nil
}

// eventStalled reports whether the bytes of one event have been arriving for too long and another runner can take over.
func (c *call) eventStalled() bool {
	now := c.d.Clock.Now()
	if len(c.events.pending) == 0 {
		c.pendingSince = time.Time{}
		return false
	}
	if c.pendingSince.IsZero() {
		c.pendingSince = now
	}
	return c.route.Idempotent() && now.Sub(c.pendingSince) >= eventStall && c.hasAlternative()
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

// nextChunk waits for the next chunk of a stream; it returns false if the runner has stalled and another one can take
// over.
func (c *call) nextChunk(ctx context.Context, pick choice, chunks <-chan chunk) (chunk, bool) {
	since := c.d.Clock.Now()
	for {
		timer := c.d.Clock.NewTimer(streamStall)
		select {
		case next := <-chunks:
			timer.Stop()
			c.d.Tracker.dataReceived(pick.runner, c.d.Clock.Now())
			return next, true
		case <-ctx.Done():
			timer.Stop()
			return chunk{err: context.Cause(ctx)}, true
		case <-timer.Chan():
			if c.route.Idempotent() && c.stalled(pick, since, streamStall) && c.hasAlternative() {
				return chunk{}, false
			}
		}
	}
}

// chunk is the result of one read from a response.
type chunk struct {
	data []byte
	err  error
}

// readChunks reads a response until it ends or stop is closed.
func readChunks(body io.Reader, chunks chan<- chunk, stop <-chan struct{}) {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := body.Read(buffer)
		select {
		case chunks <- chunk{data: buffer[:n], err: err}:
		case <-stop:
			return
		}
		if err != nil {
			return
		}
	}
}
