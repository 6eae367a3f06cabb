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
	// pieceBytes is how much of a stream is read at once, pieceQueue how many pieces wait for the caller.
	pieceBytes = 4 << 10
	pieceQueue = 4
	// eventStall is how long a runner may send nothing at all before its streams go on at another one, where they may.
	eventStall = time.Second
)

// relayWhole reads an answer to its end and then passes it on, so that a broken one reaches nobody.
func (c *call) relayWhole(ctx context.Context, pick choice, answer *Answer) (bool, *refusal.Refusal) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeBytes+1))
	if err != nil {
		return c.truncated(ctx, pick, err)
	}
	if len(body) > maxWholeBytes {
		return c.relayLarge(answer, body)
	}
	success := answer.Status < http.StatusMultipleChoices
	if success {
		c.d.Tracker.judged(pick.runner, true, c.d.Clock.Now())
	}
	c.first = c.d.Clock.Now()
	c.status = answer.Status
	c.outcome = Answered
	if !success {
		c.outcome = Failed
	}
	if c.caller.Begin(answer.Status, answer.Header, int64(len(body))) != nil || c.caller.Write(body) != nil {
		c.outcome = Left
	}
	return false, nil
}

// relayLarge passes on an answer too large to keep, while it comes.
func (c *call) relayLarge(answer *Answer, head []byte) (bool, *refusal.Refusal) {
	c.begun = true
	c.first = c.d.Clock.Now()
	c.status = answer.Status
	if c.caller.Begin(answer.Status, answer.Header, answer.Length) != nil || c.caller.Write(head) != nil {
		c.outcome = Left
		return false, nil
	}
	buffer := make([]byte, pieceBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 && c.caller.Write(buffer[:n]) != nil {
			c.outcome = Left
			return false, nil
		}
		if errors.Is(err, io.EOF) {
			c.outcome = Answered
			return false, nil
		}
		if err != nil {
			return false, refusal.New(http.StatusBadGateway, refusal.AnswerBroken, "the answer broke off")
		}
	}
}

// truncated handles an answer that broke off before any of it, or any more of it, was passed on.
func (c *call) truncated(ctx context.Context, pick choice, err error) (bool, *refusal.Refusal) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) {
		return false, nil
	}
	c.sendFailed(pick, &endpoint.TruncatedError{Cause: err})
	c.d.Tracker.judged(pick.runner, false, c.d.Clock.Now())
	return c.repeat("the answer broke off")
}

// relayStream passes whole events on as they come.
func (c *call) relayStream(ctx context.Context, pick choice, answer *Answer) (bool, *refusal.Refusal) {
	if !c.begun {
		c.begun = true
		c.status = answer.Status
		if c.caller.Begin(answer.Status, answer.Header, -1) != nil {
			c.outcome = Left
			return false, nil
		}
	} else {
		c.resumed(pick)
	}
	c.framer.pending = nil
	pieces := make(chan piece, pieceQueue)
	stop := make(chan struct{})
	defer close(stop)
	go pump(answer.Body, pieces, stop)
	for {
		next, ok := c.nextPiece(ctx, pick, pieces)
		if !ok {
			answer.Close()
			return c.truncated(ctx, pick, errStalled)
		}
		if len(next.data) > 0 {
			if left, err := c.passOn(next.data); left {
				return false, nil
			} else if err != nil {
				return c.truncated(ctx, pick, err)
			}
		}
		if errors.Is(next.err, io.EOF) && len(c.framer.pending) == 0 {
			c.d.Tracker.judged(pick.runner, true, c.d.Clock.Now())
			c.outcome = Answered
			return false, nil
		}
		if next.err != nil {
			answer.Close()
			return c.truncated(ctx, pick, next.err)
		}
	}
}

// passOn sends the whole events that a piece completes; left tells that the caller takes no more.
func (c *call) passOn(data []byte) (left bool, err error) {
	whole, err := c.framer.take(data)
	if err != nil || len(whole) == 0 {
		return false, err
	}
	c.passed(c.d.Clock.Now())
	if c.caller.Write(whole) != nil {
		c.outcome = Left
		return true, nil
	}
	return false, nil
}

// passed notes when a piece is passed on.
func (c *call) passed(now time.Time) {
	if c.first.IsZero() {
		c.first = now
	} else {
		c.pause = max(c.pause, now.Sub(c.last))
	}
	c.last = now
}

// nextPiece waits for more of a stream; it reports false when the runner is silent and another one can go on.
func (c *call) nextPiece(ctx context.Context, pick choice, pieces <-chan piece) (piece, bool) {
	from := c.d.Clock.Now()
	for {
		timer := c.d.Clock.NewTimer(eventStall)
		select {
		case next := <-pieces:
			timer.Stop()
			c.d.Tracker.heard(pick.runner, c.d.Clock.Now())
			return next, true
		case <-ctx.Done():
			timer.Stop()
			return piece{err: context.Cause(ctx)}, true
		case <-timer.Chan():
			if c.route.Idempotent() && c.silent(pick, from, eventStall) && c.hasAlternative() {
				return piece{}, false
			}
		}
	}
}

// piece is what one read of an answer gave.
type piece struct {
	data []byte
	err  error
}

// pump reads an answer until it ends or nobody takes its pieces any more.
func pump(body io.Reader, pieces chan<- piece, stop <-chan struct{}) {
	for {
		buffer := make([]byte, pieceBytes)
		n, err := body.Read(buffer)
		select {
		case pieces <- piece{data: buffer[:n], err: err}:
		case <-stop:
			return
		}
		if err != nil {
			return
		}
	}
}
