package logstream

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/pause"
)

const (
	maxPageRecords = 512
	longPollWait   = 10 * time.Second
	minRetryDelay  = 50 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
)

// Subscriber is a watermill subscriber that delivers the records of each topic in order of their offsets.
type Subscriber struct {
	log           logservice.Log
	from          logservice.Offset
	clock         clockwork.Clock
	logger        *slog.Logger
	cancel        context.CancelFunc
	closed        context.Context
	subscriptions sync.WaitGroup
}

// NewSubscriber returns a subscriber that starts reading at offset from.
func NewSubscriber(log logservice.Log, from logservice.Offset, clock clockwork.Clock, logger *slog.Logger) *Subscriber {
	closed, cancel := context.WithCancel(context.Background())
	return &Subscriber{
		log:    log,
		from:   from,
		clock:  clock,
		logger: logger,
		cancel: cancel,
		closed: closed,
	}
}

// Subscribe returns a channel with the messages of a stream. Each message must be acknowledged before the next is delivered.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	out := make(chan *message.Message)
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.closed, cancel)
	s.subscriptions.Add(1)
	go func() {
		defer s.subscriptions.Done()
		defer close(out)
		defer cancel()
		defer stop()
		s.poll(ctx, topic, out)
	}()
	return out, nil
}

// Close ends all subscriptions and waits for their goroutines.
func (s *Subscriber) Close() error {
	s.cancel()
	s.subscriptions.Wait()
	return nil
}

// poll reads a stream page by page and delivers its records until ctx ends.
func (s *Subscriber) poll(ctx context.Context, topic string, out chan<- *message.Message) {
	nextOffset := s.from
	retryDelay := minRetryDelay
	reachable := true
	for ctx.Err() == nil {
		page, err := s.log.Read(ctx, topic, nextOffset, maxPageRecords, longPollWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if reachable {
				event.LogUnreachable.Log(s.logger, slog.String("Stream", topic), event.Error(err))
			}
			reachable = false
			s.sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		if !reachable {
			event.LogReachable.Log(s.logger, slog.String("Stream", topic))
		}
		reachable = true
		retryDelay = minRetryDelay
		for _, record := range page.Records {
			if !s.deliver(ctx, record, out) {
				return
			}
		}
		nextOffset = max(nextOffset, page.Next)
	}
}

// sleep waits about d, with jitter so that readers don't retry all at the same time.
func (s *Subscriber) sleep(ctx context.Context, d time.Duration) {
	jittered := d/2 + rand.N(d)
	pause.For(ctx, s.clock, jittered)
}

// deliver sends a record until it is acknowledged; it returns false if ctx ends first.
func (s *Subscriber) deliver(ctx context.Context, record logservice.Record, out chan<- *message.Message) bool {
	for {
		msg := message.NewMessage(uuid.NewString(), record.Payload)
		msg.SetContext(ctx)
		setMetadata(msg, record)
		select {
		case out <- msg:
		case <-ctx.Done():
			return false
		}
		select {
		case <-msg.Acked():
			return true
		case <-msg.Nacked():
			s.sleep(ctx, minRetryDelay)
		case <-ctx.Done():
			return false
		}
	}
}
