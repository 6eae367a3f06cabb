package dispatch

import (
	"log/slog"
	"net/http"

	"github.com/cowsliparch/cowsliparch/internal/buffer"
	"github.com/cowsliparch/cowsliparch/internal/event"
)

// size returns how many bytes of the response are held. Less than a chunk does not count: it is part of what any request takes.
func (a *attempt) size() int {
	n := a.headBytes + cap(a.body) + cap(a.held) + cap(a.events.pending) + len(a.events.firstID) + len(a.events.lastID)
	if n < chunkBytes {
		return 0
	}
	return n
}

// headerFieldBytes is what a field of a header takes besides its text, in the runner's header and in the one for the caller.
const headerFieldBytes = 256

// headSize returns how much memory a header takes.
func headSize(header http.Header) int {
	n := 0
	for name, values := range header {
		n += headerFieldBytes + len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return n
}

// holdHead counts what has arrived of a head that is not complete.
func (a *attempt) holdHead(bytes int) error {
	if bytes <= chunkBytes {
		return nil
	}
	return a.share.Hold(bytes)
}

// hold counts what is held of the response, and events that are about to be passed on. It fails with buffer.EvictedError.
func (a *attempt) hold(events []byte) error {
	n := a.size()
	if len(events) >= chunkBytes {
		n += len(events)
	}
	if n == 0 && !a.holds {
		return nil
	}
	a.holds = n > 0
	return a.share.Hold(n)
}

// tryHold counts what is held of the response, if all responses together may hold that.
func (a *attempt) tryHold() bool {
	n := a.size()
	if n == 0 {
		return true
	}
	a.holds = true
	return a.share.TryHold(n)
}

// evict gives up a response that holds the most of all when they hold too much together. It is called by the goroutine of any
// request.
func (c *call) evict(a *attempt, evicted *buffer.EvictedError) {
	event.ResponseEvicted.Log(c.d.Logger,
		slog.String("Request", c.request.ID),
		slog.String("Runner", a.pick.runner.ID),
		slog.Int64("Bytes", evicted.Bytes),
		slog.Int64("Limit", evicted.Limit))
	a.cancel(evicted)
	if a.writing.Load() {
		c.caller.Interrupt()
	}
}
