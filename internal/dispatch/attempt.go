package dispatch

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/buffer"
	"github.com/cowsliparch/cowsliparch/internal/quarantine"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// chunkBytes is how much of a response is read at once; updateQueue is how many updates may wait for the caller.
	chunkBytes  = 4 << 10
	updateQueue = 4
	// maxDrainBytes and drainTimeout limit what is read of a response that is not passed on, to reuse its connection.
	maxDrainBytes = 64 << 10
	drainTimeout  = 100 * time.Millisecond
	// maxPreludeBytes limits what comes before the first event of a stream, such as comments.
	maxPreludeBytes = 64 << 10
	// maxEventTime is how long the bytes of one event may take to arrive before another runner is tried.
	maxEventTime = 2 * time.Second
)

// attempt sends a request to one runner, or through one other VM, and receives the response.
type attempt struct {
	pick choice
	// tracker keeps what is known of the runner, or of the VM through which the request is sent.
	tracker *Tracker
	use     roster.ModelUse
	sent    time.Time
	// lastUpdate is when the newest update that was handled had arrived, or when the request was sent.
	lastUpdate time.Time
	cancel     context.CancelCauseFunc
	// share counts what is held of the response; writing is set while a part of it is written to the caller.
	share   *buffer.Share
	writing atomic.Bool
	// holds is set while share holds anything; headBytes is what the head takes.
	holds     bool
	headBytes int
	// updates delivers the head of the response, or the error in its place, and then the body.
	updates chan update
	ended   chan struct{}
	// response is nil until the head has arrived.
	response *Response
	// progress is how far the runner has got with the answer, which begins with the first event of a stream or the first data of
	// another body.
	progress quarantine.Progress
	// answered is set once an event of a stream has arrived; begun is set once a part of the body was passed on to the caller.
	answered bool
	begun    bool
	// numbered is set once an event with an ID has arrived, which must follow the last one that the caller has.
	numbered bool
	// body is what has arrived of a response that is passed on as a whole; bodyBytes is the size of all that has arrived.
	body      []byte
	bodyBytes int
	events    eventSplitter
	// held is what has arrived before the first event, such as comments.
	held []byte
	// pendingSince is when the first bytes of the incomplete event arrived, zero if there is none.
	pendingSince time.Time
}

// update is the head of a response or a part of its body. err is why there is no head, or why the body ends, io.EOF if it is
// complete.
type update struct {
	response *Response
	data     []byte
	// buffer is what data is in, until the update has been handled.
	buffer *chunk
	err    error
	// at is when it arrived, which may be long before it is handled.
	at time.Time
}

// chunk is the memory of a part of a body.
type chunk [chunkBytes]byte

// chunks keeps chunks for further use: runners that send without end would otherwise cause garbage faster than it is collected.
var chunks = sync.Pool{
	New: func() any { return new(chunk) },
}

// recycle ends the use of the data, which must have been copied or passed on.
func (u update) recycle() {
	if u.buffer != nil {
		chunks.Put(u.buffer)
	}
}

// startAttempt sends the request to a runner.
func (c *call) startAttempt(ctx context.Context, pick choice) *attempt {
	now := c.d.Clock.Now()
	needs := c.requirements()
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		pick:    pick,
		tracker: c.trackerOf(pick),
		use: roster.ModelUse{
			Runner:  pick.runner.ID,
			Model:   needs.model,
			Adapter: needs.adapter,
		},
		sent:       now,
		lastUpdate: now,
		progress:   quarantine.NewProgress(now),
		cancel:     cancel,
		updates:    make(chan update, updateQueue),
		ended:      make(chan struct{}),
	}
	c.tried = append(c.tried, pick.runner.ID)
	c.attempts++
	a.tracker.requestSent(a.use, now)
	a.share = c.d.Buffers.Share(func(evicted *buffer.EvictedError) { c.evict(a, evicted) })
	parameters := c.newAttempt(pick)
	parameters.OnHeadRead = a.holdHead
	go a.receive(ctx, c.senderFor(pick), c.d.Clock, c.request, parameters)
	return a
}

// receive delivers the updates of an attempt until the response or the attempt ends.
func (a *attempt) receive(ctx context.Context, sender Sender, clock clockwork.Clock, r *Request, parameters Attempt) {
	response, err := sender.Send(ctx, a.pick.runner, r, parameters)
	delivered := a.deliver(update{
		response: response,
		err:      err,
		at:       clock.Now(),
	})
	if err != nil {
		return
	}
	if !delivered {
		response.Close()
		return
	}
	for {
		buffer := chunks.Get().(*chunk)
		n, err := response.Body.Read(buffer[:])
		at := clock.Now()
		if errors.Is(err, io.EOF) && response.Ended != nil {
			at = response.Ended()
		}
		delivered := a.deliver(update{
			data:   buffer[:n],
			buffer: buffer,
			err:    err,
			at:     at,
		})
		if !delivered || err != nil {
			return
		}
	}
}

// deliver reports whether the update was accepted; it is not once the attempt has ended.
func (a *attempt) deliver(u update) bool {
	select {
	case <-a.ended:
		return false
	default:
	}
	select {
	case a.updates <- u:
		return true
	case <-a.ended:
		return false
	}
}

// updatesOrNil returns the updates, or a channel that blocks if there is no attempt.
func (a *attempt) updatesOrNil() <-chan update {
	if a == nil {
		return nil
	}
	return a.updates
}

// close ends the attempt; before the end of the response, that makes the runner stop.
func (a *attempt) close() {
	close(a.ended)
	a.share.Release()
	if a.response == nil {
		a.closeUnhandled()
	} else {
		a.response.Close()
	}
	a.cancel(errSilent)
}

// closeUnhandled closes a response that was delivered and not handled.
func (a *attempt) closeUnhandled() {
	select {
	case u := <-a.updates:
		if u.response != nil {
			u.response.Close()
		}
	default:
	}
}

// drain reads a short response to its end, so that its connection can be reused. One that does not end soon is left unread, and
// its connection is closed with it.
func (a *attempt) drain(clock clockwork.Clock) {
	if a.response.Length > maxDrainBytes {
		return
	}
	timer := clock.NewTimer(drainTimeout)
	defer timer.Stop()
	for left := maxDrainBytes; left > 0; {
		select {
		case u := <-a.updates:
			if u.err != nil {
				return
			}
			left -= len(u.data)
			u.recycle()
		case <-timer.Chan():
			return
		}
	}
}

// eventOverdue reports whether the bytes of one event have been arriving for too long.
func (a *attempt) eventOverdue(now time.Time) bool {
	return !a.pendingSince.IsZero() && now.Sub(a.pendingSince) >= maxEventTime
}

// NoEventError reports a stream that did not send an event within the size limit of what may come before the first one.
type NoEventError struct {
	Bytes int
}

// Error implements error.
func (e *NoEventError) Error() string {
	return "stream does not begin with an event within the size limit"
}

// feed returns the events that an update completes. What comes before the first event is held until then. It fails with
// EventTooLargeError or NoEventError.
func (a *attempt) feed(u update) ([]byte, error) {
	events, err := a.events.feed(u.data)
	if errors.Is(u.err, io.EOF) {
		events = append(events, a.events.finish()...)
	}
	switch {
	case len(a.events.pending) == 0:
		a.pendingSince = time.Time{}
	case len(events) > 0 || a.pendingSince.IsZero():
		a.pendingSince = u.at
	}
	if a.answered || len(events) == 0 {
		return events, err
	}
	a.held = append(a.held, events...)
	if !a.events.begun {
		if len(a.held) > maxPreludeBytes {
			return nil, &NoEventError{Bytes: len(a.held)}
		}
		return nil, err
	}
	events, a.held = a.held, nil
	return events, err
}

// complete reports whether a body that ended with err has arrived whole. A stream that ends inside an event was broken off.
func (a *attempt) complete(err error) bool {
	return errors.Is(err, io.EOF) && len(a.events.pending) == 0
}
