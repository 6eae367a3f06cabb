package fakelog

import (
	"context"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Connection is one VM's connection to the log, which can be interrupted or frozen independently of other VMs' connections.
type Connection struct {
	log logservice.Log

	mu          sync.Mutex
	interrupted bool
	// frozen is closed when the connection is no longer frozen; it is nil while the connection isn't frozen.
	frozen chan struct{}
}

// NewConnection returns a working connection to log.
func NewConnection(log logservice.Log) *Connection {
	return &Connection{
		log: log,
	}
}

// SetInterrupted interrupts or restores the connection.
func (c *Connection) SetInterrupted(interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = interrupted
}

// Freeze blocks every request and every answer until the returned function is called.
func (c *Connection) Freeze() (unfreeze func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	frozen := make(chan struct{})
	c.frozen = frozen
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.frozen = nil
		close(frozen)
	}
}

// Append implements logservice.Log.
func (c *Connection) Append(ctx context.Context, stream string, payload []byte) (logservice.Offset, error) {
	if err := c.awaitConnection(ctx, stream); err != nil {
		return 0, err
	}
	offset, err := c.log.Append(ctx, stream, payload)
	if err != nil {
		return 0, err
	}
	if err := c.awaitConnection(ctx, stream); err != nil {
		return 0, &logservice.ResponseLostError{Stream: stream, Cause: err}
	}
	return offset, nil
}

// Read implements logservice.Log.
func (c *Connection) Read(ctx context.Context, stream string, from logservice.Offset, limit int, wait time.Duration) (logservice.Page, error) {
	if err := c.awaitConnection(ctx, stream); err != nil {
		return logservice.Page{}, err
	}
	page, err := c.log.Read(ctx, stream, from, limit, wait)
	if err != nil {
		return logservice.Page{}, err
	}
	return page, c.awaitConnection(ctx, stream)
}

// awaitConnection waits while the connection is frozen and fails while it is interrupted.
func (c *Connection) awaitConnection(ctx context.Context, stream string) error {
	c.mu.Lock()
	interrupted, frozen := c.interrupted, c.frozen
	c.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-ctx.Done():
			return &logservice.UnavailableError{Stream: stream, Cause: ctx.Err()}
		}
	}
	if interrupted {
		return &logservice.UnavailableError{Stream: stream, Cause: &FaultError{Fault: "connection interrupted"}}
	}
	return nil
}
