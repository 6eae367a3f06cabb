package booking

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/claim"
)

// batcherTimeout is how long a batcher may take before this VM turns to the log itself.
const batcherTimeout = 3 * time.Second

const (
	// freeWait is how long a claim of unknown fate is looked for.
	freeWait     = 2 * time.Minute
	freeInterval = time.Second
	// maxAbandoned bounds how many given-up attempts wait to be looked for.
	maxAbandoned = 4096
)

// abandoned is an attempt that was given up at a time.
type abandoned struct {
	claim claim.Claim
	at    time.Time
}

// Batcher appends claims and outcomes, its own and those of other VMs, and answers from the fold.
type Batcher interface {
	Claim(ctx context.Context, c claim.Claim) (claim.Entry, error)
	Record(ctx context.Context, outcome claim.Outcome) error
	Wait(ctx context.Context, key string) (claim.Entry, bool)
}

// Counter is where calls claim their keys. It goes through the batcher of the key's partition, which gathers the claims
// of many VMs into one append. The batcher is a hint, not an authority: when it can't be reached, this VM appends and
// reads by itself in the name of the same attempt, and the order of the log still decides.
type Counter struct {
	desk *Desk
	// batcher returns another VM that batches a partition, or false if this VM does.
	batcher   func(partition int) (Batcher, bool)
	clock     clockwork.Clock
	abandoned chan abandoned
}

// NewCounter returns a counter over this VM's own desk and the batchers it may turn to.
func NewCounter(desk *Desk, batcher func(partition int) (Batcher, bool), clock clockwork.Clock) *Counter {
	return &Counter{
		desk:      desk,
		batcher:   batcher,
		clock:     clock,
		abandoned: make(chan abandoned, maxAbandoned),
	}
}

// Claim asks for the right to run the call with a key. It fails with UnavailableError when the call has not run and this
// attempt never will.
func (c *Counter) Claim(ctx context.Context, key string, digest uint64) (Ticket, error) {
	asked := claim.Claim{
		Key:     key,
		Attempt: uuid.NewString(),
		Digest:  digest,
	}
	entry, err := c.claim(ctx, asked)
	if err != nil {
		c.abandon(asked)
	}
	return Ticket{
		Key:     key,
		Attempt: asked.Attempt,
		Won:     err == nil && entry.Attempt == asked.Attempt,
		Entry:   entry,
	}, err
}

func (c *Counter) claim(ctx context.Context, asked claim.Claim) (claim.Entry, error) {
	remote, ok := c.batcher(c.desk.Partition(asked.Key))
	if !ok {
		return c.desk.Claim(ctx, asked)
	}
	trying, cancel := context.WithTimeout(ctx, batcherTimeout)
	entry, err := remote.Claim(trying, asked)
	cancel()
	if err == nil {
		return entry, nil
	}
	return c.desk.Claim(ctx, asked)
}

// Run frees, until ctx ends, the keys of attempts that were given up and whose claims turn up after all.
func (c *Counter) Run(ctx context.Context) error {
	var open []abandoned
	ticker := c.clock.NewTicker(freeInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-c.abandoned:
			if len(open) < maxAbandoned {
				open = append(open, a)
			}
			continue
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		now := c.clock.Now()
		open = slices.DeleteFunc(open, func(a abandoned) bool {
			return c.free(ctx, a.claim) || now.Sub(a.at) > freeWait
		})
	}
}

// abandon remembers an attempt that is given up; when too many are, the newest ones' keys stay taken.
func (c *Counter) abandon(asked claim.Claim) {
	select {
	case c.abandoned <- abandoned{claim: asked, at: c.clock.Now()}:
	default:
	}
}

// free frees the key of an attempt if its claim has turned up and won, and reports whether it did.
func (c *Counter) free(ctx context.Context, asked claim.Claim) bool {
	if !c.desk.Holds(asked) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, batcherTimeout)
	defer cancel()
	return c.desk.Record(ctx, released(asked.Key, asked.Attempt)) == nil
}

// Release frees a key that was won and whose call was not sent at all.
func (c *Counter) Release(ticket Ticket) {
	c.abandon(claim.Claim{
		Key:     ticket.Key,
		Attempt: ticket.Attempt,
	})
}

func released(key, attempt string) claim.Outcome {
	return claim.Outcome{
		Key:      key,
		Attempt:  attempt,
		Released: true,
	}
}

// Record ends a won attempt with its outcome and waits until that is in the log or ctx ends.
func (c *Counter) Record(ctx context.Context, outcome claim.Outcome) error {
	remote, ok := c.batcher(c.desk.Partition(outcome.Key))
	if ok {
		trying, cancel := context.WithTimeout(ctx, batcherTimeout)
		err := remote.Record(trying, outcome)
		cancel()
		if err == nil {
			return nil
		}
	}
	return c.desk.Record(ctx, outcome)
}

// Wait returns the entry of a key once it has an outcome, or what is known of it when ctx ends.
func (c *Counter) Wait(ctx context.Context, key string) (claim.Entry, bool) {
	if remote, ok := c.batcher(c.desk.Partition(key)); ok {
		if entry, found := remote.Wait(ctx, key); found {
			return entry, true
		}
		if ctx.Err() != nil {
			return claim.Entry{}, false
		}
	}
	return c.desk.Wait(ctx, key)
}

// TooOld reports whether a key's own time is further back than keys are remembered.
func (c *Counter) TooOld(key string, now time.Time) bool { return c.desk.TooOld(key, now) }
