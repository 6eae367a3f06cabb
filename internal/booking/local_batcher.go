package booking

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/claim"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Options configures a LocalBatcher.
type Options struct {
	Partitions    int
	FlushInterval time.Duration
	// Batchers returns how many VMs batch each partition. More batchers flush less often each, so that together they stay
	// within the append rate of the log.
	Batchers     func() int
	DedupeWindow time.Duration
	// Timeout limits the append of one batch, and with it how long a claim may take before the call is rejected as not run.
	Timeout time.Duration
}

// maxAppendsPerSecond limits the appends to the log by all batchers together.
const maxAppendsPerSecond = 100

// flushInterval returns how long a partition collects items before it appends them as one batch.
func (o Options) flushInterval() time.Duration {
	batcherCount := 1
	if o.Batchers != nil {
		batcherCount = o.Batchers()
	}
	return max(o.FlushInterval, time.Duration(batcherCount*o.Partitions)*time.Second/maxAppendsPerSecond)
}

// LocalBatcher is the Batcher of this VM: it appends to the claim streams directly.
type LocalBatcher struct {
	partitions []*partition
	options    Options
}

// New returns a LocalBatcher for the claim streams of a log.
func New(options Options, log logservice.Log, clock clockwork.Clock, logger *slog.Logger) *LocalBatcher {
	b := &LocalBatcher{
		options: options,
	}
	for i := range options.Partitions {
		b.partitions = append(b.partitions, newPartition(i, options, log, clock, logger))
	}
	return b
}

// Run reads the claim streams and appends batches to them until ctx ends.
func (b *LocalBatcher) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	errs := make(chan error, len(b.partitions))
	for _, p := range b.partitions {
		followerCtx, stopFollower := context.WithCancel(context.WithoutCancel(ctx))
		wg.Go(func() { errs <- p.runFollower(followerCtx) })
		wg.Go(func() {
			// Keep reading until the queue is drained: an append only completes once its record has been read back.
			defer stopFollower()
			p.runAppends(ctx)
		})
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		return err
	}
}

// Claim requests the right to run the call with a key for one attempt. It fails with UnavailableError if the claim was not
// recorded or could not be confirmed in time. Repeating a claim with the same attempt ID is safe. Only the VM that made the
// attempt may release the key, because no other VM knows that the attempt will not run the call.
func (b *LocalBatcher) Claim(ctx context.Context, c claim.Claim) (claim.Entry, error) {
	p := b.partitionOf(c.Key)
	if entry, ok := p.follower.State().Entry(c.Key); ok && !entry.Released() {
		return entry, nil
	}
	queued := item{
		claim:  &c,
		result: make(chan error, 1),
	}
	if err := p.enqueue(queued); err != nil {
		return claim.Entry{}, &UnavailableError{Cause: err}
	}
	select {
	case err := <-queued.result:
		if err != nil {
			return claim.Entry{}, &UnavailableError{Cause: err}
		}
	case <-ctx.Done():
		return claim.Entry{}, &UnavailableError{Cause: ctx.Err()}
	}
	entry, ok := p.follower.State().Entry(c.Key)
	if !ok {
		return claim.Entry{}, &UnavailableError{Cause: &KeyExpiredError{Key: c.Key}}
	}
	return entry, nil
}

// KeyExpiredError reports a claim that was not accepted because its key is older than the deduplication window.
type KeyExpiredError struct {
	Key string
}

// Error implements error.
func (e *KeyExpiredError) Error() string {
	return "key " + e.Key + " is older than keys are remembered"
}

// Record stores the outcome of a winning attempt and waits until it is in the log or ctx ends.
func (b *LocalBatcher) Record(ctx context.Context, outcome claim.Outcome) error {
	queued := item{
		outcome: &outcome,
		result:  make(chan error, 1),
	}
	if err := b.partitionOf(outcome.Key).enqueue(queued); err != nil {
		return &UnavailableError{Cause: err}
	}
	select {
	case err := <-queued.result:
		return err
	case <-ctx.Done():
		return &UnavailableError{Cause: ctx.Err()}
	}
}

// Wait returns the entry of a key once it has an outcome, or its current entry when ctx ends; it returns false if there is
// none or the key was released.
func (b *LocalBatcher) Wait(ctx context.Context, key string) (claim.Entry, bool) {
	b.partitionOf(key).activate()
	state, _ := b.partitionOf(key).follower.Wait(ctx, func(s claim.State) bool {
		entry, ok := s.Entry(key)
		return !ok || entry.Outcome != nil
	})
	entry, ok := state.Entry(key)
	return entry, ok && !entry.Released()
}

// Holds reports whether a claim won its key and has no outcome yet.
func (b *LocalBatcher) Holds(c claim.Claim) bool {
	p := b.partitionOf(c.Key)
	p.activate()
	entry, ok := p.follower.State().Entry(c.Key)
	return ok && entry.Attempt == c.Attempt && entry.Outcome == nil
}

// Expired reports whether the timestamp inside a key is older than the deduplication window.
func (b *LocalBatcher) Expired(key string, now time.Time) bool {
	return claim.Expired(key, now, b.options.DedupeWindow)
}

// KeyCount returns the number of stored keys.
func (b *LocalBatcher) KeyCount() int {
	total := 0
	for _, p := range b.partitions {
		total += p.follower.State().Len()
	}
	return total
}

func (b *LocalBatcher) partitionOf(key string) *partition { return b.partitions[b.Partition(key)] }

// Partition returns the number of the partition that a key belongs to.
func (b *LocalBatcher) Partition(key string) int {
	return int(xxhash.Sum64String(key) % uint64(len(b.partitions)))
}
