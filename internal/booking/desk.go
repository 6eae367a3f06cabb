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

// Options paces a desk.
type Options struct {
	Partitions    int
	FlushInterval time.Duration
	// Batchers returns how many VMs batch each partition; the more there are, the longer each gathers, so that together
	// they stay within what the log takes.
	Batchers     func() int
	DedupeWindow time.Duration
	// Timeout is how long a claim may take before the call is refused as not run.
	Timeout time.Duration
}

// appendsPerSecond is what all batchers together may ask of the log.
const appendsPerSecond = 100

// flush returns how long a partition gathers before it appends.
func (o Options) flush() time.Duration {
	batchers := 1
	if o.Batchers != nil {
		batchers = o.Batchers()
	}
	return max(o.FlushInterval, time.Duration(batchers*o.Partitions)*time.Second/appendsPerSecond)
}

// Desk is a batcher: it claims keys by appending to the claim streams itself.
type Desk struct {
	partitions []*partition
	options    Options
}

// New returns a desk over the claim streams of a log.
func New(options Options, log logservice.Log, clock clockwork.Clock, logger *slog.Logger) *Desk {
	d := &Desk{
		options: options,
	}
	for i := range options.Partitions {
		d.partitions = append(d.partitions, newPartition(i, options, log, clock, logger))
	}
	return d
}

// Run folds and appends until ctx ends.
func (d *Desk) Run(ctx context.Context) error {
	var threads sync.WaitGroup
	defer threads.Wait()
	errs := make(chan error, len(d.partitions))
	for _, p := range d.partitions {
		tailing, stop := context.WithCancel(context.WithoutCancel(ctx))
		threads.Go(func() { errs <- p.follow(tailing) })
		threads.Go(func() {
			// The tail goes on until the queue is drained: an append is only settled once it is read back.
			defer stop()
			p.run(ctx)
		})
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		return err
	}
}

// Claim asks for the right to run the call with a key, in the name of an attempt. It fails with UnavailableError when
// the claim was not recorded, or its fate can't be told in time. Asking again in the name of the same attempt is safe.
// Only the VM that made the attempt may free the key: it alone knows that it will not run the call.
func (d *Desk) Claim(ctx context.Context, c claim.Claim) (claim.Entry, error) {
	p := d.partition(c.Key)
	if entry, ok := p.tail.State().Entry(c.Key); ok && !entry.Free() {
		return entry, nil
	}
	i := item{
		claim: &c,
		done:  make(chan error, 1),
	}
	if err := p.put(i); err != nil {
		return claim.Entry{}, &UnavailableError{Cause: err}
	}
	select {
	case err := <-i.done:
		if err != nil {
			return claim.Entry{}, &UnavailableError{Cause: err}
		}
	case <-ctx.Done():
		return claim.Entry{}, &UnavailableError{Cause: ctx.Err()}
	}
	entry, ok := p.tail.State().Entry(c.Key)
	if !ok {
		return claim.Entry{}, &UnavailableError{Cause: &ForgottenError{Key: c.Key}}
	}
	return entry, nil
}

// ForgottenError reports a key that the fold did not take because it is older than keys are remembered.
type ForgottenError struct {
	Key string
}

// Error implements error.
func (e *ForgottenError) Error() string { return "key " + e.Key + " is older than keys are remembered" }

// Record ends a won attempt with its outcome and waits until that is in the log or ctx ends.
func (d *Desk) Record(ctx context.Context, outcome claim.Outcome) error {
	i := item{
		outcome: &outcome,
		done:    make(chan error, 1),
	}
	if err := d.partition(outcome.Key).put(i); err != nil {
		return &UnavailableError{Cause: err}
	}
	select {
	case err := <-i.done:
		return err
	case <-ctx.Done():
		return &UnavailableError{Cause: ctx.Err()}
	}
}

// Wait returns the entry of a key once it has an outcome, or what is known of it when ctx ends.
func (d *Desk) Wait(ctx context.Context, key string) (claim.Entry, bool) {
	d.partition(key).want()
	state, _ := d.partition(key).tail.Wait(ctx, func(s claim.State) bool {
		entry, ok := s.Entry(key)
		return !ok || entry.Outcome != nil
	})
	entry, ok := state.Entry(key)
	return entry, ok && !entry.Free()
}

// Holds reports whether the claim of an attempt has won its key and is open.
func (d *Desk) Holds(c claim.Claim) bool {
	p := d.partition(c.Key)
	p.want()
	entry, ok := p.tail.State().Entry(c.Key)
	return ok && entry.Attempt == c.Attempt && entry.Outcome == nil
}

// TooOld reports whether a key's own time is further back than keys are remembered.
func (d *Desk) TooOld(key string, now time.Time) bool {
	return claim.TooOld(key, now, d.options.DedupeWindow)
}

// Keys returns how many keys are remembered.
func (d *Desk) Keys() int {
	sum := 0
	for _, p := range d.partitions {
		sum += p.tail.State().Len()
	}
	return sum
}

func (d *Desk) partition(key string) *partition { return d.partitions[d.Partition(key)] }

// Partition returns the number of the partition to which a key belongs.
func (d *Desk) Partition(key string) int {
	return int(xxhash.Sum64String(key) % uint64(len(d.partitions)))
}
