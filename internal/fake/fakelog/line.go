package fakelog

import (
	"context"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Line is one VM's connection to the log, which can be interrupted or frozen independently of other VMs' connections.
type Line struct {
	log logservice.Log

	mu           sync.Mutex
	disconnected bool
	// frozen is closed when the connection is no longer frozen; it is nil while the connection isn't frozen.
	frozen chan struct{}
}

// NewLine returns a working connection to log.
func NewLine(log logservice.Log) *Line {
	return &Line{
		log: log,
	}
}

// SetCut interrupts or restores the connection.
func (l *Line) SetCut(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = disconnected
}

// Freeze blocks every request and every answer until the returned function is called.
func (l *Line) Freeze() (unfreeze func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	frozen := make(chan struct{})
	l.frozen = frozen
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.frozen = nil
		close(frozen)
	}
}

// Append implements logservice.Log.
func (l *Line) Append(ctx context.Context, stream string, payload []byte) (logservice.Offset, error) {
	if err := l.awaitConnection(ctx, stream); err != nil {
		return 0, err
	}
	offset, err := l.log.Append(ctx, stream, payload)
	if err != nil {
		return 0, err
	}
	if err := l.awaitConnection(ctx, stream); err != nil {
		return 0, &logservice.ResponseLostError{Stream: stream, Cause: err}
	}
	return offset, nil
}

// Read implements logservice.Log.
func (l *Line) Read(ctx context.Context, stream string, from logservice.Offset, limit int, wait time.Duration) (logservice.Page, error) {
	if err := l.awaitConnection(ctx, stream); err != nil {
		return logservice.Page{}, err
	}
	page, err := l.log.Read(ctx, stream, from, limit, wait)
	if err != nil {
		return logservice.Page{}, err
	}
	return page, l.awaitConnection(ctx, stream)
}

// awaitConnection waits while the connection is frozen and fails while it is interrupted.
func (l *Line) awaitConnection(ctx context.Context, stream string) error {
	l.mu.Lock()
	disconnected, frozen := l.disconnected, l.frozen
	l.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-ctx.Done():
			return &logservice.UnavailableError{Stream: stream, Cause: ctx.Err()}
		}
	}
	if disconnected {
		return &logservice.UnavailableError{Stream: stream, Cause: &FaultError{Fault: "connection interrupted"}}
	}
	return nil
}
