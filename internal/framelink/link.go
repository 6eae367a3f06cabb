package framelink

import (
	"context"
	"net/http"
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

// Link carries frames over one WebSocket; one thread writes what the bounded queue holds.
type Link[F any] struct {
	socket *websocket.Conn
	out    chan F
	done   chan struct{}
	cancel context.CancelFunc
	// bytes counts what this side sent and received.
	bytes *atomic.Uint64
}

// Accept takes the link that a request asks for; ok is false when it was answered with an error instead. The rest is as New
// says.
func Accept[F any](w http.ResponseWriter, r *http.Request, bytes *atomic.Uint64) (ctx context.Context, link *Link[F], ok bool) {
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, nil, false
	}
	ctx, link = New[F](r.Context(), socket, bytes)
	return ctx, link, true
}

// New starts a link over a socket; the context that it returns ends with the link, and bytes counts what passes.
func New[F any](ctx context.Context, socket *websocket.Conn, bytes *atomic.Uint64) (context.Context, *Link[F]) {
	ctx, stop := context.WithCancel(ctx)
	socket.SetReadLimit(maxFrameBytes)
	c := &Link[F]{
		socket: socket,
		out:    make(chan F, sendQueue),
		done:   make(chan struct{}),
		cancel: stop,
		bytes:  bytes,
	}
	go c.write(ctx)
	return ctx, c
}

func (c *Link[F]) write(ctx context.Context) {
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

func (c *Link[F]) writeOne(ctx context.Context, f F) error {
	payload, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	c.bytes.Add(uint64(len(payload)) + frameHeader)
	return c.socket.Write(ctx, websocket.MessageBinary, payload)
}

// Send queues a frame; it fails with ClosedError or with the context's error while the queue is full.
func (c *Link[F]) Send(ctx context.Context, f F) error {
	select {
	case c.out <- f:
		return nil
	case <-c.done:
		return &ClosedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TrySend queues a frame unless the queue is full, and reports whether it did.
func (c *Link[F]) TrySend(f F) bool {
	select {
	case c.out <- f:
		return true
	default:
		return false
	}
}

// Read returns the next frame, or ClosedError.
func (c *Link[F]) Read(ctx context.Context) (F, error) {
	var f F
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

// Close ends the link.
func (c *Link[F]) Close() {
	c.cancel()
	_ = c.socket.CloseNow()
}
