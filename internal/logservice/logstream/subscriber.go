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
	pageLimit    = 512
	longPollWait = 10 * time.Second
	minRetryWait = 50 * time.Millisecond
	maxRetryWait = 2 * time.Second
)

// Subscriber is a watermill subscriber that reads each topic once, in order of offset.
type Subscriber struct {
	log    logservice.Log
	from   logservice.Offset
	clock  clockwork.Clock
	logger *slog.Logger
	cancel context.CancelFunc
	closed context.Context
	active sync.WaitGroup
}

// NewSubscriber returns a subscriber that begins at offset from.
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

// Subscribe returns the messages of a stream; each must be acknowledged before the next is sent.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	out := make(chan *message.Message)
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.closed, cancel)
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		defer close(out)
		defer cancel()
		defer stop()
		s.tail(ctx, topic, out)
	}()
	return out, nil
}

// Close ends every subscription and waits for their threads.
func (s *Subscriber) Close() error {
	s.cancel()
	s.active.Wait()
	return nil
}

func (s *Subscriber) tail(ctx context.Context, topic string, out chan<- *message.Message) {
	next := s.from
	wait := minRetryWait
	reachable := true
	for ctx.Err() == nil {
		page, err := s.log.Read(ctx, topic, next, pageLimit, longPollWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if reachable {
				event.LogUnreachable.Log(s.logger, slog.String("Stream", topic), event.Error(err))
			}
			reachable = false
			s.sleep(ctx, wait)
			wait = min(2*wait, maxRetryWait)
			continue
		}
		if !reachable {
			event.LogReachable.Log(s.logger, slog.String("Stream", topic))
		}
		reachable = true
		wait = minRetryWait
		for _, record := range page.Records {
			if !s.deliver(ctx, record, out) {
				return
			}
		}
		next = max(next, page.Next)
	}
}

// sleep waits about d; the jitter keeps readers from returning to the log in step.
func (s *Subscriber) sleep(ctx context.Context, d time.Duration) {
	jittered := d/2 + rand.N(d)
	pause.For(ctx, s.clock, jittered)
}

func (s *Subscriber) deliver(ctx context.Context, record logservice.Record, out chan<- *message.Message) bool {
	for {
		msg := message.NewMessage(uuid.NewString(), record.Payload)
		msg.SetContext(ctx)
		setRecord(msg, record)
		select {
		case out <- msg:
		case <-ctx.Done():
			return false
		}
		select {
		case <-msg.Acked():
			return true
		case <-msg.Nacked():
			s.sleep(ctx, minRetryWait)
		case <-ctx.Done():
			return false
		}
	}
}
