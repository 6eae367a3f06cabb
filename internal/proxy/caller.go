package proxy

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// writeTimeout limits how long the other VM may take nothing of a response that is written.
	writeTimeout = 10 * time.Second
	// writeBytes is how much is written at once, so that VMs with slow links are in time.
	writeBytes = 64 << 10
)

// caller implements dispatch.Caller and dispatch.RunnerObserver for another VM.
type caller struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	clock      clockwork.Clock
	runner     *roster.Runner
	streaming  bool
	// started is set once a head was written; refused and aborted tell how the response ended.
	started bool
	refused bool
	aborted bool

	mu sync.Mutex
	// interrupted is set once Interrupt was called; ended is set once the response is, whose connection then serves others.
	interrupted bool
	ended       bool
}

// ObserveRunner implements dispatch.RunnerObserver.
func (c *caller) ObserveRunner(runner *roster.Runner) { c.runner = runner }

// WriteHeader implements dispatch.Caller.
func (c *caller) WriteHeader(status int, header http.Header, length int64) error {
	head := responseHead{
		Status: status,
		Header: header,
	}
	if c.runner != nil {
		head.Runner, head.Release = c.runner.ID, c.runner.Release
	}
	c.streaming = length < 0
	return c.writeHead(head, length)
}

// writeHead writes the head of a response with a body of a length, or of unknown length if it is negative.
func (c *caller) writeHead(head responseHead, length int64) error {
	encoded, err := encodeHead(head)
	if err != nil {
		c.aborted = true
		return err
	}
	c.started = true
	c.writer.Header().Set("Content-Type", contentType)
	if length >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(int64(len(encoded))+length, 10))
	}
	c.extendDeadline()
	c.writer.WriteHeader(http.StatusOK)
	_, err = c.writer.Write(encoded)
	return err
}

// Write implements dispatch.Caller.
func (c *caller) Write(piece []byte) error {
	for part := range slices.Chunk(piece, writeBytes) {
		c.extendDeadline()
		if _, err := c.writer.Write(part); err != nil {
			return err
		}
	}
	if c.streaming {
		return c.controller.Flush()
	}
	return nil
}

// Refuse implements dispatch.Caller.
func (c *caller) Refuse(r *refusal.Refusal) {
	c.refused = true
	_ = c.writeHead(responseHead{Refusal: r}, 0)
}

// Interrupt implements dispatch.Caller.
func (c *caller) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.interrupted = true
	_ = c.controller.SetWriteDeadline(c.clock.Now())
}

// Abort implements dispatch.Caller.
func (c *caller) Abort() { c.aborted = true }

// incomplete reports whether the connection must be broken off, so that the other VM doesn't take the response for complete.
func (c *caller) incomplete() bool { return c.aborted || !c.started }

func (c *caller) outcome() string {
	switch {
	case c.incomplete():
		return outcomeLost
	case c.refused:
		return outcomeRefused
	default:
		return outcomeAnswered
	}
}

// end gives the end of the response, which the server writes, its time.
func (c *caller) end() {
	c.extendDeadline()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// extendDeadline gives the next write its time. A write that was interrupted stays so.
func (c *caller) extendDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.controller.SetWriteDeadline(c.clock.Now().Add(writeTimeout))
	}
}
