package booking

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/claim"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/fold"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

const (
	queueLength  = 8192
	batchEntries = 512
	batchBytes   = 512 << 10
)

// item is a claim or an outcome that waits to be appended; done receives the fate of its batch.
type item struct {
	claim   *claim.Claim
	outcome *claim.Outcome
	done    chan error
}

func (i item) size() int {
	if i.outcome != nil {
		return len(i.outcome.Body)
	}
	return 0
}

// partition gathers claims and outcomes of one stream into batches.
type partition struct {
	tail    *fold.Tail[claim.State]
	queue   chan item
	flush   func() time.Duration
	timeout time.Duration
	clock   clockwork.Clock
	logger  *slog.Logger

	// wanted is closed by the first use: a VM that is never asked about a partition doesn't read its stream.
	wanted    chan struct{}
	firstWant sync.Once
}

func newPartition(number int, options Options, log logservice.Log, clock clockwork.Clock, logger *slog.Logger) *partition {
	return &partition{
		tail:    fold.NewTail(claim.New(options.DedupeWindow), log, claim.Stream(number), clock, logger),
		queue:   make(chan item, queueLength),
		flush:   options.flush,
		timeout: options.Timeout,
		clock:   clock,
		logger:  logger,
		wanted:  make(chan struct{}),
	}
}

func (p *partition) want() { p.firstWant.Do(func() { close(p.wanted) }) }

// follow reads the stream from its first use on until ctx ends.
func (p *partition) follow(ctx context.Context) error {
	select {
	case <-p.wanted:
		return p.tail.Run(ctx)
	case <-ctx.Done():
		return nil
	}
}

// put queues an item, or fails with FullError at once.
func (p *partition) put(i item) error {
	p.want()
	select {
	case p.queue <- i:
		return nil
	default:
		return &FullError{}
	}
}

// run appends batches until ctx ends; what is queued by then is appended still.
func (p *partition) run(ctx context.Context) {
	for {
		select {
		case first := <-p.queue:
			p.append(p.gather(ctx, first))
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
			p.append(p.gather(context.Background(), first))
		default:
			return
		}
	}
}

// gather waits a flush interval for more items to go with the first.
func (p *partition) gather(ctx context.Context, first item) []item {
	items := []item{first}
	size := first.size()
	flush := p.clock.After(p.flush())
	for len(items) < batchEntries && size < batchBytes {
		select {
		case next := <-p.queue:
			items = append(items, next)
			size += next.size()
		case <-flush:
			return items
		case <-ctx.Done():
			return items
		}
	}
	return items
}

// append submits a batch without waiting for the one before, so that a slow log delays but doesn't serialise.
func (p *partition) append(items []item) {
	var batch claim.Batch
	for _, i := range items {
		if i.claim != nil {
			batch.Claims = append(batch.Claims, *i.claim)
		}
		if i.outcome != nil {
			batch.Outcomes = append(batch.Outcomes, *i.outcome)
		}
	}
	go func() {
		err := p.submit(batch)
		for _, i := range items {
			i.done <- err
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
	_, _, err = p.tail.Submit(ctx, envelope)
	if err != nil {
		event.ClaimsUnavailable.Log(p.logger, slog.Int("Claims", len(batch.Claims)), event.Error(err))
	}
	return err
}
