package fold

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/logservice/logstream"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

const routerCloseTimeout = 5 * time.Second

// Tail follows one stream and keeps its current state.
type Tail[S State[S]] struct {
	log    logservice.Log
	stream string
	clock  clockwork.Clock
	logger *slog.Logger

	mu      sync.Mutex
	cursor  Cursor[S]
	recent  *recentRecords
	skipped uint64
	changed chan struct{}
}

// NewTail returns a tail of a stream that starts from an initial state.
func NewTail[S State[S]](initial S, log logservice.Log, stream string, clock clockwork.Clock, logger *slog.Logger) *Tail[S] {
	return &Tail[S]{
		log:     log,
		stream:  stream,
		clock:   clock,
		logger:  logger,
		cursor:  NewCursor(initial),
		recent:  newRecentRecords(),
		changed: make(chan struct{}),
	}
}

// Run reads the stream and applies its records until ctx ends.
func (t *Tail[S]) Run(ctx context.Context) error {
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: routerCloseTimeout}, watermill.NopLogger{})
	if err != nil {
		return err
	}
	router.AddMiddleware(middleware.Recoverer)
	subscriber := logstream.NewSubscriber(t.log, t.Cursor().LastOffset()+1, t.clock, t.logger)
	router.AddConsumerHandler("Fold/"+t.stream, t.stream, subscriber, t.handle)
	return router.Run(ctx)
}

// Stream returns the name of the stream.
func (t *Tail[S]) Stream() string { return t.stream }

// State returns the current state.
func (t *Tail[S]) State() S {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cursor.State()
}

// Cursor returns the current position in the stream.
func (t *Tail[S]) Cursor() Cursor[S] {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cursor
}

// Skipped returns how many records have been skipped.
func (t *Tail[S]) Skipped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.skipped
}

// Adopt replaces the state by a peer's if that is newer, and reports whether it did.
func (t *Tail[S]) Adopt(state S) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cursor, further := t.cursor.WithState(state)
	if further {
		t.setCursor(cursor)
	}
	return further
}

// Wait returns the first state for which done returns true, or the error of ctx.
func (t *Tail[S]) Wait(ctx context.Context, done func(S) bool) (S, error) {
	for {
		t.mu.Lock()
		state := t.cursor.State()
		changed := t.changed
		t.mu.Unlock()
		if done(state) {
			return state, nil
		}
		select {
		case <-ctx.Done():
			return state, ctx.Err()
		case <-changed:
		}
	}
}

// Submit appends an envelope once and returns the state after it is applied, with its offset. It fails with
// logservice.UnavailableError if the record was not added, and with UnknownYetError if the outcome isn't known before ctx
// ends.
func (t *Tail[S]) Submit(ctx context.Context, envelope record.Envelope) (S, logservice.Offset, error) {
	payload, err := envelope.Encode()
	if err != nil {
		return t.State(), 0, err
	}
	offset, err := t.log.Append(ctx, t.stream, payload)
	if err == nil {
		return t.waitOutcome(ctx, envelope.ID, func(S) bool { return t.Cursor().LastOffset() >= offset })
	}
	var lost *logservice.AnswerLostError
	if !errors.As(err, &lost) {
		return t.State(), 0, err
	}
	return t.waitOutcome(ctx, envelope.ID, func(S) bool {
		_, ok := t.RecentOffset(envelope.ID)
		return ok
	})
}

// RecentOffset returns the offset of a recently read record by its ID.
func (t *Tail[S]) RecentOffset(id string) (logservice.Offset, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.offset(id)
}

// waitOutcome waits until done returns true for an appended record.
func (t *Tail[S]) waitOutcome(ctx context.Context, id string, done func(S) bool) (S, logservice.Offset, error) {
	state, err := t.Wait(ctx, done)
	if err != nil {
		return state, 0, &UnknownYetError{ID: id, Cause: err}
	}
	offset, _ := t.RecentOffset(id)
	// done may have checked a newer cursor than the state that it was given.
	return t.State(), offset, nil
}

// handle applies one record delivered by the stream.
func (t *Tail[S]) handle(msg *message.Message) error {
	r, err := logstream.Record(msg)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if envelope, err := record.Decode(r.Payload); err == nil {
		t.recent.add(envelope.ID, r.Offset)
	}
	through := t.cursor.LastOffset()
	if r.Offset <= through {
		// Delivered twice, or already covered by a state adopted from a peer.
		return nil
	}
	cursor, skip := t.cursor.Apply(r)
	if cursor.Missed() && !t.cursor.Missed() {
		event.LogGap.Log(t.logger, slog.String("Stream", t.stream), slog.Uint64("Folded", uint64(through)),
			slog.Uint64("Next", uint64(r.Offset)))
	}
	if skip != nil {
		t.skipped++
		event.RecordSkipped.Log(t.logger, slog.String("Stream", t.stream), slog.Uint64("Offset", uint64(r.Offset)),
			event.Error(skip))
	}
	t.setCursor(cursor)
	return nil
}

// setCursor replaces the cursor and wakes the callers of Wait.
func (t *Tail[S]) setCursor(cursor Cursor[S]) {
	t.cursor = cursor
	close(t.changed)
	t.changed = make(chan struct{})
}
