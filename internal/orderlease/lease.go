package orderlease

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/boottime"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

const (
	// renewalsPerTerm is the number of renewals in a term.
	renewalsPerTerm = 3
	// marginDivisor sets the safety margin of a term: no orders are sent in its last 1/marginDivisor.
	marginDivisor = 8
	// contactTimeout is how long after a message from the holder over its link the stream need not be read.
	contactTimeout = 1500 * time.Millisecond
	// watchInterval is the wait between two checks by a VM that need not read the stream.
	watchInterval = 150 * time.Millisecond
	// contactGrace is how long after the first record of a holder its first message over a link is awaited.
	contactGrace = 600 * time.Millisecond
	// minReadWait and maxReadWait bound how long a read waits for the next record.
	minReadWait = 300 * time.Millisecond
	maxReadWait = 4 * time.Second
	// resolveReadTimeout bounds one read of the stream after a renewal of unknown outcome.
	resolveReadTimeout = 400 * time.Millisecond
	// unknownFence stands for the fencing token of a tenure whose records were not read; no VM has given it up.
	unknownFence = math.MaxUint64
	// claimJitter bounds the random delay that keeps the claims of several VMs apart.
	claimJitter = 200 * time.Millisecond
)

// Options configures the lease for one VM.
type Options struct {
	Name        string
	Address     string
	Incarnation string
	Term        time.Duration
	// ClaimDelay is how much later than others this VM claims a free lease.
	ClaimDelay time.Duration
	// OnResign is called when a tenure is given up, so that other VMs learn of it before they read the stream.
	OnResign func()
	// VMs returns the number of VMs to record, given the newest recorded one and the fencing token of this VM's tenure, 0 if it
	// claims the lease. It must not call the Lease. Nil records none.
	VMs func(recorded int, fence uint64) int
}

// Lease tracks who holds the order lease and claims it for this VM when it is free; it is safe for concurrent use.
type Lease struct {
	options   Options
	log       logservice.ConditionalLog
	clock     clockwork.Clock
	bootClock boottime.Clock
	logger    *slog.Logger

	mu sync.Mutex
	// next is the position that follows the newest known record.
	next   logservice.Position
	newest Record
	// newestFence is the fencing token of the newest tenure.
	newestFence uint64
	// newestSeenAt is when the newest record was first seen here; like all times here, it is the time since the VM booted.
	newestSeenAt time.Duration
	hasRecord    bool
	// holderChangedAt is when the first record of the newest holder, or its release, was seen here.
	holderChangedAt time.Duration
	// fence and expiresAt are those of this VM's own tenure; fence is 0 if there is none.
	fence     uint64
	expiresAt time.Duration
	sequence  uint64
	// pendingSequence is the sequence of the newest append, whose outcome may be unknown, pendingSentAt when it was sent.
	pendingSequence uint64
	pendingSentAt   time.Duration
	// lastContact is when the holder last sent a message over its link.
	lastContact time.Duration
	// resignedFence is the fencing token of the newest own tenure that was given up, peerResignedFence the highest one that
	// another VM gave up.
	resignedFence     uint64
	peerResignedFence uint64
	// stopped is set once this VM has released the lease for good.
	stopped bool
	// validEra is the earliest era whose records have an effect here.
	validEra logservice.Era
	// eraFreeAt is when every tenure of earlier eras has ended, also those of which the log has lost all records; 0 once a record of
	// the present era shows that.
	eraFreeAt time.Duration
	// continuedUntil is when this VM's tenure would have ended, had a new era not ended it; until then no other VM holds the lease.
	continuedUntil time.Duration
	// backoffUntil is the time until which this VM leaves the lease to others.
	backoffUntil time.Duration
	// cancelRead ends the newest read that waits for a record.
	cancelRead context.CancelFunc
}

// New returns a Lease; Run tracks and claims the lease.
func New(options Options, log logservice.ConditionalLog, clock clockwork.Clock, bootClock boottime.Clock, logger *slog.Logger) *Lease {
	return &Lease{
		options:     options,
		log:         log,
		clock:       clock,
		bootClock:   bootClock,
		logger:      logger,
		lastContact: -contactTimeout,
		cancelRead:  func() {},
	}
}

// Fence returns the fencing token for an order sent now, and false when this VM may not send any.
func (l *Lease) Fence() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == 0 || l.bootClock.Elapsed() > l.expiresAt-l.options.Term/marginDivisor {
		return 0, false
	}
	return l.fence, true
}

// Holder returns the newest record, of this or another VM, and false when the lease is released or no record is known.
func (l *Lease) Holder() (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest, l.hasRecord && !l.newest.Released
}

// RecordedVMs returns the number of VMs that share the quotas of client accounts by the newest record read, 0 if it has none.
func (l *Lease) RecordedVMs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest.VMs
}

// Unclaimed reports whether the log came back from a copy and no VM is known to have claimed the lease since.
func (l *Lease) Unclaimed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasRecord && l.newestFence < fenceAt(logservice.Position{Era: l.next.Era})
}

// HolderSeen records that the holder sent a message over its link, up to which position it has read the stream, and its fencing token,
// 0 if it does not tell. This VM need not read those records: it counts the term of the newest one from the arrival of the message,
// which is later than the record. A message of an earlier era has no effect: its sender has not noticed yet that its tenure is over.
func (l *Lease) HolderSeen(next logservice.Position, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Era == 0 {
		// Holders of an older release do not tell the era.
		next.Era = l.next.Era
	}
	if next.Era < l.next.Era {
		return
	}
	l.enterEra(next.Era)
	l.lastContact = l.bootClock.Elapsed()
	if next.Offset <= l.next.Offset {
		return
	}
	l.next = next
	l.newestSeenAt = l.lastContact
	// Without the records, an earlier resignation could be taken for one of the newest tenure.
	l.newestFence = max(l.newestFence, fence)
	if fence == 0 {
		l.newestFence = unknownFence
	}
}

// HolderSeenRecently reports whether the holder sent a message over its link recently.
func (l *Lease) HolderSeenRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bootClock.Elapsed()-l.lastContact < contactTimeout
}

// ReadPosition returns the position up to which the stream was read, and the fencing token of a tenure that this VM gave up.
func (l *Lease) ReadPosition() (next logservice.Position, resigned uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next, l.resignedFence
}

// HolderResigned records that the holder gave up a tenure and sends no more orders with its fencing token.
func (l *Lease) HolderResigned(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence <= l.peerResignedFence {
		return
	}
	l.peerResignedFence = fence
	l.lastContact = -contactTimeout
	l.cancelRead()
}

// Release gives up the lease for good, so that another VM can claim it immediately.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.StepDown(ctx, 0)
}

// StepDown gives up the lease and leaves it to others until the backoff has passed.
func (l *Lease) StepDown(ctx context.Context, backoff time.Duration) {
	l.mu.Lock()
	l.backoffUntil = l.bootClock.Elapsed() + backoff
	fence := l.fence
	l.fence = 0
	l.mu.Unlock()
	if fence == 0 {
		return
	}
	_, err := l.appendRecord(ctx, fence, true)
	if err != nil {
		event.LeaseLost.Log(l.logger, slog.Uint64("Fence", fence), event.Error(err))
		return
	}
	event.LeaseReleased.Log(l.logger, slog.Uint64("Fence", fence))
	l.mu.Lock()
	l.resignedFence = fence
	l.mu.Unlock()
	l.options.OnResign()
}

// FenceRejected ends the tenure of a fencing token because a runner has seen a higher one.
func (l *Lease) FenceRejected(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence == fence && fence != 0 {
		l.loseLease("a runner has seen a higher fencing token")
	}
}
