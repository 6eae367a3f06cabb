package booking

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/claim"
)

// batcherTimeout limits one request to a batcher, and the append of a release; a claim or an outcome that the batcher
// has not confirmed by then is appended to the log by this VM directly.
const batcherTimeout = 3 * time.Second

const (
	// abandonedTTL is how long Run checks whether an abandoned claim was written to the log after all.
	abandonedTTL    = 2 * time.Minute
	releaseInterval = time.Second
	// maxAbandoned limits both the queue of abandoned claims and the list that Run checks.
	maxAbandoned = 4096
)

// abandonedClaim is a claim whose attempt was given up, so its key must be released if the claim wins.
type abandonedClaim struct {
	claim       claim.Claim
	abandonedAt time.Time
}

// Batcher appends the claims and outcomes of several VMs to the log and answers from the state that the log records build.
type Batcher interface {
	Claim(ctx context.Context, c claim.Claim) (claim.Entry, error)
	Record(ctx context.Context, outcome claim.Outcome) error
	Wait(ctx context.Context, key string) (claim.Entry, bool)
}

// Claimer claims keys for the calls of this VM. It sends claims to the batcher of the key's partition, which combines the
// claims of many VMs into one append. Using the batcher is an optimization and not needed for correctness: if it can't be
// reached, this VM appends and reads the log directly with the same attempt ID, and the order of the log decides who wins.
type Claimer struct {
	local *LocalBatcher
	// batcher returns the other VM that batches a partition, or false if this VM is the batcher.
	batcher   func(partition int) (Batcher, bool)
	clock     clockwork.Clock
	abandoned chan abandonedClaim
}

// NewClaimer returns a Claimer that uses the batchers of other VMs and falls back to this VM's own batcher.
func NewClaimer(local *LocalBatcher, batcher func(partition int) (Batcher, bool), clock clockwork.Clock) *Claimer {
	return &Claimer{
		local:     local,
		batcher:   batcher,
		clock:     clock,
		abandoned: make(chan abandonedClaim, maxAbandoned),
	}
}

// Claim requests the right to run the call with a key. It fails with UnavailableError if the claim can't be confirmed; the
// attempt is then abandoned, so it never runs the call.
func (c *Claimer) Claim(ctx context.Context, key string, digest uint64) (Result, error) {
	request := claim.Claim{
		Key:     key,
		Attempt: uuid.NewString(),
		Digest:  digest,
	}
	entry, err := c.claim(ctx, request)
	if err != nil {
		c.abandon(request)
	}
	return Result{
		Key:     key,
		Attempt: request.Attempt,
		Won:     err == nil && entry.Attempt == request.Attempt,
		Entry:   entry,
	}, err
}

func (c *Claimer) claim(ctx context.Context, request claim.Claim) (claim.Entry, error) {
	remote, ok := c.batcher(c.local.Partition(request.Key))
	if !ok {
		return c.local.Claim(ctx, request)
	}
	batcherCtx, cancel := context.WithTimeout(ctx, batcherTimeout)
	entry, err := remote.Claim(batcherCtx, request)
	cancel()
	if err == nil {
		return entry, nil
	}
	return c.local.Claim(ctx, request)
}

// Run releases the keys of abandoned attempts whose claims were written to the log after all, until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	var pending []abandonedClaim
	ticker := c.clock.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-c.abandoned:
			if len(pending) < maxAbandoned {
				pending = append(pending, a)
			}
			continue
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		now := c.clock.Now()
		pending = slices.DeleteFunc(pending, func(a abandonedClaim) bool {
			return c.releaseIfWon(ctx, a.claim) || now.Sub(a.abandonedAt) > abandonedTTL
		})
	}
}

// abandon hands an abandoned claim to Run. If the queue is full, the claim is dropped and its key stays claimed.
func (c *Claimer) abandon(request claim.Claim) {
	select {
	case c.abandoned <- abandonedClaim{claim: request, abandonedAt: c.clock.Now()}:
	default:
	}
}

// releaseIfWon releases the key if the log shows that the claim won it, and reports whether the release was recorded.
func (c *Claimer) releaseIfWon(ctx context.Context, request claim.Claim) bool {
	if !c.local.Holds(request) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, batcherTimeout)
	defer cancel()
	return c.local.Record(ctx, releaseOutcome(request.Key, request.Attempt)) == nil
}

// Release makes a won key claimable again, for a call of which nothing was sent. Run does so in the background.
func (c *Claimer) Release(result Result) {
	c.abandon(claim.Claim{
		Key:     result.Key,
		Attempt: result.Attempt,
	})
}

func releaseOutcome(key, attempt string) claim.Outcome {
	return claim.Outcome{
		Key:      key,
		Attempt:  attempt,
		Released: true,
	}
}

// Record stores the outcome of a winning attempt and waits until it is in the log or ctx ends.
func (c *Claimer) Record(ctx context.Context, outcome claim.Outcome) error {
	remote, ok := c.batcher(c.local.Partition(outcome.Key))
	if ok {
		batcherCtx, cancel := context.WithTimeout(ctx, batcherTimeout)
		err := remote.Record(batcherCtx, outcome)
		cancel()
		if err == nil {
			return nil
		}
	}
	return c.local.Record(ctx, outcome)
}

// Wait returns the entry of a key once it has an outcome, or its current entry when ctx ends; it returns false if there is
// none or the key was released.
func (c *Claimer) Wait(ctx context.Context, key string) (claim.Entry, bool) {
	if remote, ok := c.batcher(c.local.Partition(key)); ok {
		if entry, found := remote.Wait(ctx, key); found {
			return entry, true
		}
		if ctx.Err() != nil {
			return claim.Entry{}, false
		}
	}
	return c.local.Wait(ctx, key)
}

// Expired reports whether the timestamp inside a key is older than the deduplication window.
func (c *Claimer) Expired(key string, now time.Time) bool { return c.local.Expired(key, now) }
