package tenure

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/boottime"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

const (
	// renewals is how many renewals fit into a term.
	renewals = 3
	// marginShare is the part of a term before its end from which no order is sent any more.
	marginShare = 8
	// linkFresh is how long a word of the holder over its link spares reading the stream.
	linkFresh = 1500 * time.Millisecond
	// watchPause is the pause between two looks of a VM that need not read.
	watchPause = 150 * time.Millisecond
	// leastWait and mostWait bound how long a read waits for the next record.
	leastWait = 300 * time.Millisecond
	mostWait  = time.Second
	// settleTimeout bounds one read after a lost renewal.
	settleTimeout = 400 * time.Millisecond
	// claimSpread keeps the claims of several VMs apart.
	claimSpread = 200 * time.Millisecond
)

// Options says who claims.
type Options struct {
	Name        string
	Address     string
	Incarnation string
	Term        time.Duration
	// Reluctance is by how much later than others this VM claims a free lease.
	Reluctance time.Duration
	// OnResign is called when a tenure is given up without a record, so that other VMs learn of it at once.
	OnResign func()
}

// Tenure follows the lease and claims it when it is free; it is safe for concurrent use.
type Tenure struct {
	options Options
	log     logservice.Conditional
	clock   clockwork.Clock
	boot    boottime.Clock
	logger  *slog.Logger

	mu   sync.Mutex
	next logservice.Offset
	last Claim
	// lastFence is the fencing number of the newest tenure.
	lastFence uint64
	// seen is when the newest record was first seen here, in time since the VM started.
	seen  time.Duration
	known bool
	// fence and until are those of this VM's own tenure.
	fence    uint64
	until    time.Duration
	sequence uint64
	// pending is the sequence of an append of unknown fate, sent when it was sent.
	pending uint64
	sent    time.Duration
	linked  time.Duration
	// resigned is the fencing number of an own tenure given up without a record, given the highest that another VM gave up.
	resigned uint64
	given    uint64
	stopped  bool
	// rest is until when this VM leaves the lease to others.
	rest time.Duration
}

// New returns a tenure; Run follows it.
func New(options Options, log logservice.Conditional, clock clockwork.Clock, boot boottime.Clock, logger *slog.Logger) *Tenure {
	return &Tenure{
		options: options,
		log:     log,
		clock:   clock,
		boot:    boot,
		logger:  logger,
		linked:  -linkFresh,
	}
}

// Fence returns the fencing number for an order sent now, and false when this VM may not send any.
func (t *Tenure) Fence() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence == 0 || t.boot.Elapsed() > t.until-t.options.Term/marginShare {
		return 0, false
	}
	return t.fence, true
}

// Holder returns the newest claim that was not released, of this or another VM.
func (t *Tenure) Holder() (Claim, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last, t.known && !t.last.Released
}

// Linked notes that the holder spoke over its link, and how far it has read the stream: what it has read was renewed by
// now at the latest, so its records need not be read here.
func (t *Tenure) Linked(next logservice.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.linked = t.boot.Elapsed()
	if next > t.next {
		t.next = next
		t.seen = t.linked
	}
}

// Heard reports whether the holder spoke lately.
func (t *Tenure) Heard() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.boot.Elapsed()-t.linked < linkFresh
}

// Position returns how far the stream was read, and the fencing number of a tenure that this VM gave up without a record.
func (t *Tenure) Position() (next logservice.Offset, resigned uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.resigned
}

// Resigned notes that the holder gave a tenure up and sends no more orders under its fencing number.
func (t *Tenure) Resigned(fence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fence <= t.given {
		return
	}
	t.given = fence
	t.linked = -linkFresh
}

// Release gives the lease up for good, so that another VM can claim it at once.
func (t *Tenure) Release(ctx context.Context) {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.StepDown(ctx, 0)
}

// StepDown gives the lease up and leaves it to others for a time.
func (t *Tenure) StepDown(ctx context.Context, rest time.Duration) {
	t.mu.Lock()
	t.rest = t.boot.Elapsed() + rest
	fence := t.fence
	t.fence = 0
	t.mu.Unlock()
	if fence == 0 {
		return
	}
	_, err := t.append(ctx, fence, true)
	if err != nil {
		event.LeaseLost.Log(t.logger, slog.Uint64("Fence", fence), event.Error(err))
		return
	}
	event.LeaseReleased.Log(t.logger, slog.Uint64("Fence", fence))
}

// Refused notes that a runner has seen a higher fencing number than one of this VM's: the tenure it belongs to is over.
func (t *Tenure) Refused(fence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence == fence && fence != 0 {
		t.lose("a runner has seen a higher fencing number")
	}
}
