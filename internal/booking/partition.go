package booking

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/claim"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/internal/replay"
)

const (
	queueCapacity = 8192
	maxBatchItems = 512
	maxBatchBytes = 512 << 10
)

// item is a queued claim or outcome; result receives the error of the append of its batch, or nil.
type item struct {
	claim   *claim.Claim
	outcome *claim.Outcome
	result  chan error
}

func (i item) size() int {
	if i.outcome != nil {
		return len(i.outcome.Body)
	}
	return 0
}

// partition combines the claims and outcomes of one stream into batches.
type partition struct {
	follower      *replay.Follower[claim.State]
	queue         chan item
	flushInterval func() time.Duration
	timeout       time.Duration
	clock         clockwork.Clock
	logger        *slog.Logger

	// activated is closed at the first use, so that a VM only reads the streams of the partitions that it uses.
	activated    chan struct{}
	activateOnce sync.Once
}

func newPartition(number int, options Options, log logservice.Log, clock clockwork.Clock, logger *slog.Logger) *partition {
	return &partition{
		follower:      replay.NewFollower(claim.New(options.DedupeWindow), log, claim.Stream(number), clock, logger),
		queue:         make(chan item, queueCapacity),
		flushInterval: options.flushInterval,
		timeout:       options.Timeout,
		clock:         clock,
		logger:        logger,
		activated:     make(chan struct{}),
	}
}

func (p *partition) activate() { p.activateOnce.Do(func() { close(p.activated) }) }

// runFollower waits for the first use of the partition, then reads its stream until ctx ends.
func (p *partition) runFollower(ctx context.Context) error {
	select {
	case <-p.activated:
		return p.follower.Run(ctx)
	case <-ctx.Done():
		return nil
	}
}

// enqueue adds an item to the queue, or fails with QueueFullError without blocking.
func (p *partition) enqueue(queued item) error {
	p.activate()
	select {
	case p.queue <- queued:
		return nil
	default:
		return &QueueFullError{}
	}
}

// runAppends appends batches until ctx ends, then appends the items that are still queued.
func (p *partition) runAppends(ctx context.Context) {
	for {
		select {
		case first := <-p.queue:
			p.submitAsync(p.collect(ctx, first))
		case <-ctx.Done():
			p.drain()
			return
		}
	}
}

func (p *partition) drain() {
	for {
		select {
		case first := <-p.queue:
			p.submitAsync(p.collect(context.Background(), first))
		default:
			return
		}
	}
}

// collect adds more items to the first one until the flush interval is over or the batch is full.
func (p *partition) collect(ctx context.Context, first item) []item {
	items := []item{first}
	size := first.size()
	deadline := p.clock.After(p.flushInterval())
	for len(items) < maxBatchItems && size < maxBatchBytes {
		select {
		case next := <-p.queue:
			items = append(items, next)
			size += next.size()
		case <-deadline:
			return items
		case <-ctx.Done():
			return items
		}
	}
	return items
}

// submitAsync appends a batch without waiting for the previous one, so that a slow log adds latency but doesn't make
// appends run one after the other.
func (p *partition) submitAsync(items []item) {
	var batch claim.Batch
	for _, queued := range items {
		if queued.claim != nil {
			batch.Claims = append(batch.Claims, *queued.claim)
		}
		if queued.outcome != nil {
			batch.Outcomes = append(batch.Outcomes, *queued.outcome)
		}
	}
	go func() {
		err := p.submit(batch)
		for _, queued := range items {
			queued.result <- err
		}
	}()
}

func (p *partition) submit(batch claim.Batch) error {
	envelope, err := record.New(claim.BatchKind, batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	_, _, err = p.follower.Submit(ctx, envelope)
	if err != nil {
		event.ClaimsUnavailable.Log(p.logger, slog.Int("Claims", len(batch.Claims)), event.Error(err))
	}
	return err
}
