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
	maxFrameBytes   = 8 << 20
	sendQueueFrames = 1024
	writeTimeout    = 5 * time.Second
	// frameOverheadBytes is the size of the WebSocket, TCP and IP headers of a small frame.
	frameOverheadBytes = 6 + 40
)

// ClosedError reports that a link is closed.
type ClosedError struct {
	// Cause is nil if the reason is not known.
	Cause error
}

// Error implements error.
func (e *ClosedError) Error() string {
	if e.Cause == nil {
		return "link to the peer is closed"
	}
	return "link to the peer is closed: " + e.Cause.Error()
}

// Unwrap returns the underlying error, which may be nil.
func (e *ClosedError) Unwrap() error { return e.Cause }

// Link sends and receives frames over one WebSocket; a goroutine writes the frames from a bounded queue.
type Link[F any] struct {
	socket *websocket.Conn
	queue  chan F
	// done is closed when the link no longer writes frames; ctx ends before, when the link is closed.
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	// byteCount counts the bytes that this side has sent and received, overhead included.
	byteCount *atomic.Uint64
}

// Accept upgrades an HTTP request to a link, like New; ok is false if it responded to the request with an error instead.
func Accept[F any](w http.ResponseWriter, r *http.Request, byteCount *atomic.Uint64) (ctx context.Context, link *Link[F], ok bool) {
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, nil, false
	}
	ctx, link = New[F](r.Context(), socket, byteCount)
	return ctx, link, true
}

// New starts a link over a WebSocket, adds its traffic to byteCount and returns a context that ends with the link.
func New[F any](ctx context.Context, socket *websocket.Conn, byteCount *atomic.Uint64) (context.Context, *Link[F]) {
	ctx, cancel := context.WithCancel(ctx)
	socket.SetReadLimit(maxFrameBytes)
	link := &Link[F]{
		socket:    socket,
		queue:     make(chan F, sendQueueFrames),
		done:      make(chan struct{}),
		ctx:       ctx,
		cancel:    cancel,
		byteCount: byteCount,
	}
	go link.writeLoop(ctx)
	return ctx, link
}

func (l *Link[F]) writeLoop(ctx context.Context) {
	defer close(l.done)
	defer l.cancel()
	for {
		select {
		case f := <-l.queue:
			if l.writeFrame(ctx, f) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *Link[F]) writeFrame(ctx context.Context, f F) error {
	payload, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	l.byteCount.Add(uint64(len(payload)) + frameOverheadBytes)
	return l.socket.Write(ctx, websocket.MessageBinary, payload)
}

// Send queues a frame, waiting while the queue is full; it fails with ClosedError or with the context's error.
func (l *Link[F]) Send(ctx context.Context, f F) error {
	if l.ctx.Err() != nil {
		return &ClosedError{}
	}
	select {
	case l.queue <- f:
		return nil
	case <-l.done:
		return &ClosedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TrySend queues a frame unless the queue is full or the link is closed, and reports whether it queued the frame.
func (l *Link[F]) TrySend(f F) bool {
	if l.ctx.Err() != nil {
		return false
	}
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// Read returns the next frame; it fails with ClosedError.
func (l *Link[F]) Read(ctx context.Context) (F, error) {
	var f F
	_, payload, err := l.socket.Read(ctx)
	if err != nil {
		return f, &ClosedError{Cause: err}
	}
	l.byteCount.Add(uint64(len(payload)) + frameOverheadBytes)
	if err := cbor.Unmarshal(payload, &f); err != nil {
		return f, &ClosedError{Cause: err}
	}
	return f, nil
}

// Close closes the link without waiting for queued frames.
func (l *Link[F]) Close() {
	l.cancel()
	_ = l.socket.CloseNow()
}
