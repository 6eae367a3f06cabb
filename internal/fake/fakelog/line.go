package fakelog

import (
	"context"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Line is one VM's way to the log, which can be cut or frozen apart from the others'.
type Line struct {
	log logservice.Log

	mu     sync.Mutex
	cut    bool
	frozen chan struct{}
}

// NewLine returns a line that is up.
func NewLine(log logservice.Log) *Line {
	return &Line{
		log: log,
	}
}

// SetCut takes the line down or up.
func (l *Line) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// Freeze holds every request, and every answer, until the returned function is called.
func (l *Line) Freeze() (thaw func()) {
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
	if err := l.pass(ctx, stream); err != nil {
		return 0, err
	}
	offset, err := l.log.Append(ctx, stream, payload)
	if err != nil {
		return 0, err
	}
	if err := l.pass(ctx, stream); err != nil {
		return 0, &logservice.AnswerLostError{Stream: stream, Cause: err}
	}
	return offset, nil
}

// Read implements logservice.Log.
func (l *Line) Read(ctx context.Context, stream string, from logservice.Offset, limit int, wait time.Duration) (logservice.Page, error) {
	if err := l.pass(ctx, stream); err != nil {
		return logservice.Page{}, err
	}
	page, err := l.log.Read(ctx, stream, from, limit, wait)
	if err != nil {
		return logservice.Page{}, err
	}
	return page, l.pass(ctx, stream)
}

// pass waits while the line is frozen and fails while it is cut.
func (l *Line) pass(ctx context.Context, stream string) error {
	l.mu.Lock()
	cut, frozen := l.cut, l.frozen
	l.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-ctx.Done():
			return &logservice.UnavailableError{Stream: stream, Cause: ctx.Err()}
		}
	}
	if cut {
		return &logservice.UnavailableError{Stream: stream, Cause: &FaultError{Fault: "cut line"}}
	}
	return nil
}
