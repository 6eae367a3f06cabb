package booking

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/claim"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// Options paces a desk.
type Options struct {
	Partitions    int
	FlushInterval time.Duration
	DedupeWindow  time.Duration
	// Timeout is how long a claim may take before the call is refused as not run.
	Timeout time.Duration
}

// Desk claims keys for this VM.
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
		d.partitions = append(d.partitions, newPartition(i, options.DedupeWindow, options.FlushInterval, options.Timeout, log, clock, logger))
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
		threads.Go(func() { errs <- p.tail.Run(tailing) })
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

// Claim asks for the right to run the call with a key. It fails with UnavailableError when the claim was not
// recorded or is given up: then the call has not run and this attempt never will.
func (d *Desk) Claim(ctx context.Context, key string, digest uint64) (Ticket, error) {
	p := d.partition(key)
	if entry, ok := p.tail.State().Entry(key); ok {
		return Ticket{Key: key, Entry: entry}, nil
	}
	ticket := Ticket{
		Key:     key,
		Attempt: uuid.NewString(),
	}
	i := item{
		claim: &claim.Claim{
			Key:     key,
			Attempt: ticket.Attempt,
			Digest:  digest,
		},
		done: make(chan error, 1),
	}
	if err := p.put(i); err != nil {
		return ticket, &UnavailableError{Cause: err}
	}
	select {
	case err := <-i.done:
		if err != nil {
			return ticket, &UnavailableError{Cause: err}
		}
	case <-ctx.Done():
		go d.giveUp(p, ticket, i.done)
		return ticket, &UnavailableError{Cause: ctx.Err()}
	}
	entry, ok := p.tail.State().Entry(key)
	if !ok {
		return ticket, &UnavailableError{Cause: &ForgottenError{Key: key}}
	}
	ticket.Won = entry.Attempt == ticket.Attempt
	ticket.Entry = entry
	return ticket, nil
}

// ForgottenError reports a key that the fold did not take because it is older than keys are remembered.
type ForgottenError struct {
	Key string
}

// Error implements error.
func (e *ForgottenError) Error() string { return "key " + e.Key + " is older than keys are remembered" }

// giveUp frees a key whose caller left before the claim was settled.
func (d *Desk) giveUp(p *partition, ticket Ticket, done <-chan error) {
	if err := <-done; err != nil {
		return
	}
	d.Release(ticket)
}

// Release frees a key that was won and whose call was not sent at all.
func (d *Desk) Release(ticket Ticket) {
	_ = d.partition(ticket.Key).put(item{
		outcome: &claim.Outcome{
			Key:      ticket.Key,
			Attempt:  ticket.Attempt,
			Released: true,
		},
		done: make(chan error, 1),
	})
}

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

// Lookup returns what is known of a key.
func (d *Desk) Lookup(key string) (claim.Entry, bool) {
	return d.partition(key).tail.State().Entry(key)
}

// Wait returns the entry of a key once it has an outcome, or what is known of it when ctx ends.
func (d *Desk) Wait(ctx context.Context, key string) (claim.Entry, bool) {
	state, _ := d.partition(key).tail.Wait(ctx, func(s claim.State) bool {
		entry, ok := s.Entry(key)
		return !ok || entry.Outcome != nil
	})
	return state.Entry(key)
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

func (d *Desk) partition(key string) *partition {
	return d.partitions[xxhash.Sum64String(key)%uint64(len(d.partitions))]
}
