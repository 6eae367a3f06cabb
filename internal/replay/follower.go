package replay

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

// Follower follows one stream and keeps its current state.
type Follower[S State[S]] struct {
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

// NewFollower returns a Follower of a stream that starts from an initial state.
func NewFollower[S State[S]](initial S, log logservice.Log, stream string, clock clockwork.Clock, logger *slog.Logger) *Follower[S] {
	return &Follower[S]{
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
func (f *Follower[S]) Run(ctx context.Context) error {
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: routerCloseTimeout}, watermill.NopLogger{})
	if err != nil {
		return err
	}
	router.AddMiddleware(middleware.Recoverer)
	subscriber := logstream.NewSubscriber(f.log, f.Cursor().LastOffset()+1, f.clock, f.logger)
	router.AddConsumerHandler("Fold/"+f.stream, f.stream, subscriber, f.handle)
	return router.Run(ctx)
}

// Stream returns the name of the stream.
func (f *Follower[S]) Stream() string { return f.stream }

// State returns the current state.
func (f *Follower[S]) State() S {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor.State()
}

// Cursor returns the current position in the stream.
func (f *Follower[S]) Cursor() Cursor[S] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor
}

// Skipped returns how many records have been skipped.
func (f *Follower[S]) Skipped() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.skipped
}

// Adopt replaces the state by a peer's if that is newer, and reports whether it did.
func (f *Follower[S]) Adopt(state S) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	cursor, further := f.cursor.WithState(state)
	if further {
		f.setCursor(cursor)
	}
	return further
}

// Wait returns the first state for which done returns true, or the error of ctx.
func (f *Follower[S]) Wait(ctx context.Context, done func(S) bool) (S, error) {
	for {
		f.mu.Lock()
		state := f.cursor.State()
		changed := f.changed
		f.mu.Unlock()
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
func (f *Follower[S]) Submit(ctx context.Context, envelope record.Envelope) (S, logservice.Offset, error) {
	payload, err := envelope.Encode()
	if err != nil {
		return f.State(), 0, err
	}
	offset, err := f.log.Append(ctx, f.stream, payload)
	if err == nil {
		return f.waitOutcome(ctx, envelope.ID, func(S) bool { return f.Cursor().LastOffset() >= offset })
	}
	var lost *logservice.ResponseLostError
	if !errors.As(err, &lost) {
		return f.State(), 0, err
	}
	return f.waitOutcome(ctx, envelope.ID, func(S) bool {
		_, ok := f.RecentOffset(envelope.ID)
		return ok
	})
}

// RecentOffset returns the offset of a recently read record by its ID.
func (f *Follower[S]) RecentOffset(id string) (logservice.Offset, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recent.offset(id)
}

// waitOutcome waits until done returns true for an appended record.
func (f *Follower[S]) waitOutcome(ctx context.Context, id string, done func(S) bool) (S, logservice.Offset, error) {
	state, err := f.Wait(ctx, done)
	if err != nil {
		return state, 0, &UnknownYetError{ID: id, Cause: err}
	}
	offset, _ := f.RecentOffset(id)
	// done may have checked a newer cursor than the state that it was given.
	return f.State(), offset, nil
}

// handle applies one record delivered by the stream.
func (f *Follower[S]) handle(msg *message.Message) error {
	r, err := logstream.Record(msg)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if envelope, err := record.Decode(r.Payload); err == nil {
		f.recent.add(envelope.ID, r.Offset)
	}
	through := f.cursor.LastOffset()
	if r.Offset <= through {
		// Delivered twice, or already covered by a state adopted from a peer.
		return nil
	}
	cursor, skip := f.cursor.Apply(r)
	if cursor.HasGap() && !f.cursor.HasGap() {
		event.LogGap.Log(f.logger, slog.String("Stream", f.stream), slog.Uint64("Folded", uint64(through)),
			slog.Uint64("Next", uint64(r.Offset)))
	}
	if skip != nil {
		f.skipped++
		event.RecordSkipped.Log(f.logger, slog.String("Stream", f.stream), slog.Uint64("Offset", uint64(r.Offset)),
			event.Error(skip))
	}
	f.setCursor(cursor)
	return nil
}

// setCursor replaces the cursor and wakes the callers of Wait.
func (f *Follower[S]) setCursor(cursor Cursor[S]) {
	f.cursor = cursor
	close(f.changed)
	f.changed = make(chan struct{})
}
