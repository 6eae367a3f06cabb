package callers

import (
	"context"
	"net"
	"net/http"
)

type contextKey struct{}

// Context is the ConnContext hook of a server whose listener is a guard's.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request, or nil if no guard has it. The methods that charge or reset a nil connection do nothing.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Track is the ConnState hook of a server whose listener is a guard's.
func (g *Guard) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive:
		c.responded = true
		c.unmarked = 0
		c.progress.Store(g.Clock.Now().UnixNano())
		g.enter(c, readingBody)
	case http.StateIdle:
		g.release(c)
		c.head = headScanner{}
		c.headBytes = 0
		// A connection refused meanwhile closes without a further response.
		c.responded = c.refused.Load() != nil
		g.enter(c, idle)
	}
}

// release ends the charges of a request; the caller holds the lock.
func (g *Guard) release(c *Conn) {
	g.set(c, 0)
}

// Fits reports whether a body of a declared length can fit into the budget beside the complete requests.
func (c *Conn) Fits(length int64) bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.headBytes+length <= c.guard.Bytes-c.guard.complete
}

// Hold sets what the body holds, before the memory is allocated. It fails with RefusedError if the request is given up.
func (c *Conn) Hold(bytes int) error {
	if c == nil {
		return nil
	}
	return c.guard.charge(c, c.headBytes+int64(bytes))
}

// Refuse gives the request up because it can't fit.
func (c *Conn) Refuse() *RefusedError {
	c.guard.mu.Lock()
	if c.refused.Load() == nil {
		c.guard.refuse(c, Memory)
	}
	c.guard.mu.Unlock()
	c.guard.OnRefuse(c.refused.Load())
	return c.refused.Load()
}

// Refused returns why the request was refused, or nil.
func (c *Conn) Refused() *RefusedError {
	if c == nil {
		return nil
	}
	return c.refused.Load()
}

// Complete states that the request was read completely; it is not given up from then on. It fails with RefusedError if it was before.
func (c *Conn) Complete() error {
	if c == nil {
		return nil
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused := c.refused.Load(); refused != nil {
		return refused
	}
	g.enter(c, passedOn)
	g.complete += c.bytes
	return nil
}

// ResetOnClose has the caller see a reset in place of the end of the connection.
func (c *Conn) ResetOnClose() {
	if c != nil {
		_ = c.SetLinger(0)
	}
}

// Discard ends the charges of a refused request, whose memory is no longer used.
func (c *Conn) Discard() {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.release(c)
}
