package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxFrameBytes = 8 << 20
	sendQueue     = 1024
	writeTimeout  = 5 * time.Second
	// frameHeader is what WebSocket, TCP and IP add to a small frame.
	frameHeader = 6 + 40
)

// ClosedError reports a link that has ended.
type ClosedError struct {
	Cause error
}

// Error implements error.
func (e *ClosedError) Error() string {
	if e.Cause == nil {
		return "link to the peer is closed"
	}
	return "link to the peer is closed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// conn carries frames over one WebSocket; one thread writes what the bounded queue holds.
type conn struct {
	socket *websocket.Conn
	out    chan frame
	done   chan struct{}
	cancel context.CancelFunc
	// bytes counts what this side sent and received.
	bytes *atomic.Uint64
}

func newConn(ctx context.Context, socket *websocket.Conn, bytes *atomic.Uint64) (context.Context, *conn) {
	ctx, stop := context.WithCancel(ctx)
	socket.SetReadLimit(maxFrameBytes)
	c := &conn{
		socket: socket,
		out:    make(chan frame, sendQueue),
		done:   make(chan struct{}),
		cancel: stop,
		bytes:  bytes,
	}
	go c.write(ctx)
	return ctx, c
}

func (c *conn) write(ctx context.Context) {
	defer close(c.done)
	defer c.cancel()
	for {
		select {
		case f := <-c.out:
			if c.writeOne(ctx, f) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (c *conn) writeOne(ctx context.Context, f frame) error {
	payload, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	c.bytes.Add(uint64(len(payload)) + frameHeader)
	return c.socket.Write(ctx, websocket.MessageBinary, payload)
}

// send queues a frame; it waits while the queue is full.
func (c *conn) send(ctx context.Context, f frame) error {
	select {
	case c.out <- f:
		return nil
	case <-c.done:
		return &ClosedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *conn) read(ctx context.Context) (frame, error) {
	var f frame
	_, payload, err := c.socket.Read(ctx)
	if err != nil {
		return f, &ClosedError{Cause: err}
	}
	c.bytes.Add(uint64(len(payload)) + frameHeader)
	if err := cbor.Unmarshal(payload, &f); err != nil {
		return f, &ClosedError{Cause: err}
	}
	return f, nil
}

func (c *conn) close() {
	c.cancel()
	_ = c.socket.CloseNow()
}
