package tenure

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
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
	// readWait is how long a read waits for the next record.
	readWait = 300 * time.Millisecond
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

// Run follows the lease until the context ends.
func (t *Tenure) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if t.holds() {
			t.renew(ctx)
		} else {
			t.watch(ctx)
		}
	}
	return nil
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

func (t *Tenure) holds() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence == 0 {
		return false
	}
	if t.boot.Elapsed() < t.until {
		return true
	}
	t.lose("the term ran out")
	return false
}

// lose ends this VM's tenure; the caller holds the lock.
func (t *Tenure) lose(reason string) {
	event.LeaseLost.Log(t.logger, slog.Uint64("Fence", t.fence), slog.String("Reason", reason),
		slog.String("Holder", t.last.Holder))
	t.fence = 0
}

// renew waits for the next renewal and appends it.
func (t *Tenure) renew(ctx context.Context) {
	if !t.sleep(ctx, t.options.Term/renewals) {
		return
	}
	t.mu.Lock()
	fence := t.fence
	t.mu.Unlock()
	if fence == 0 {
		return
	}
	if sent, err := t.append(ctx, fence, false); err == nil {
		t.extend(sent)
		return
	}
	t.settle(ctx)
}

// settle reads the stream after an append of unknown fate, until it is known or too little of the term is left to hope for
// another renewal.
func (t *Tenure) settle(ctx context.Context) {
	for ctx.Err() == nil && t.holds() {
		reading, cancel := context.WithTimeout(ctx, settleTimeout)
		err := t.catchUp(reading, 0)
		cancel()
		if err == nil {
			return
		}
		if t.resign() {
			t.options.OnResign()
			return
		}
		t.sleep(ctx, watchPause)
	}
}

// resign gives the tenure up when the store can't be reached and half of the term is over: another VM that reaches the
// store learns of it over its link and need not wait for the rest.
func (t *Tenure) resign() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence == 0 || t.boot.Elapsed() < t.until-t.options.Term/2 {
		return false
	}
	t.resigned = t.fence
	t.lose("the store can't be reached")
	return true
}

func (t *Tenure) extend(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = max(t.until, sent+t.options.Term)
}

// watch looks whether the lease is free, and claims it if so.
func (t *Tenure) watch(ctx context.Context) {
	t.mu.Lock()
	fresh := t.boot.Elapsed()-t.linked < linkFresh
	stopped := t.stopped
	t.mu.Unlock()
	if fresh || stopped {
		t.sleep(ctx, watchPause)
		return
	}
	if err := t.catchUp(ctx, readWait); err != nil {
		t.sleep(ctx, watchPause+rand.N(watchPause))
		return
	}
	if !t.free() {
		return
	}
	t.sleep(ctx, rand.N(claimSpread))
	t.claim(ctx)
}

// free reports whether the newest record no longer binds.
func (t *Tenure) free() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence != 0 || t.stopped || t.boot.Elapsed() < t.rest {
		return false
	}
	return !t.known || t.last.Released || t.boot.Elapsed()-t.seen > t.options.Term || t.givenUp() || t.ownBefore()
}

// ownBefore reports whether the newest record is of a former run of this very process: it listened on the address that
// this one listens on now, so it has ended. The caller holds the lock.
func (t *Tenure) ownBefore() bool {
	return t.last.Address == t.options.Address && t.last.Holder == t.options.Name
}

// givenUp reports whether the newest record is of a tenure that its holder said it gave up; the caller holds the lock.
func (t *Tenure) givenUp() bool { return t.given > 0 && t.lastFence <= t.given }

func (t *Tenure) claim(ctx context.Context) {
	sent, err := t.append(ctx, 0, false)
	if err != nil {
		var moved *logservice.MovedError
		if !errors.As(err, &moved) {
			t.sleep(ctx, watchPause)
		}
		return
	}
	t.extend(sent)
}

// append adds a record of this VM at the end that it knows and returns when it was sent.
func (t *Tenure) append(ctx context.Context, fence uint64, released bool) (time.Duration, error) {
	t.mu.Lock()
	t.sequence++
	at := t.next
	record := Claim{
		Holder:      t.options.Name,
		Address:     t.options.Address,
		Incarnation: t.options.Incarnation,
		Sequence:    t.sequence,
		Fence:       fence,
		Released:    released,
	}
	sent := t.boot.Elapsed()
	t.pending, t.sent = record.Sequence, sent
	t.mu.Unlock()
	payload, err := cbor.Marshal(record)
	if err != nil {
		return 0, err
	}
	if err := t.log.AppendAt(ctx, Stream, at, payload); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next == at {
		t.take(at, record)
	}
	return sent, nil
}

// catchUp reads the records that are not yet known.
func (t *Tenure) catchUp(ctx context.Context, wait time.Duration) error {
	for {
		t.mu.Lock()
		from := t.next
		t.mu.Unlock()
		page, err := t.log.Read(ctx, Stream, from, wait)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 && page.Next <= from {
			return nil
		}
		t.mu.Lock()
		t.next = max(t.next, page.First)
		for _, record := range page.Records {
			if record.Offset >= t.next {
				t.takePayload(record)
			}
		}
		t.mu.Unlock()
		wait = 0
	}
}

// takePayload decodes a record and takes it in; the caller holds the lock.
func (t *Tenure) takePayload(record logservice.Record) {
	var claim Claim
	if err := cbor.Unmarshal(record.Payload, &claim); err != nil {
		event.RecordSkipped.Log(t.logger, slog.Uint64("Offset", uint64(record.Offset)), event.Error(err))
		t.next = record.Offset + 1
		return
	}
	t.take(record.Offset, claim)
}

// take makes a record the newest one; the caller holds the lock.
func (t *Tenure) take(offset logservice.Offset, claim Claim) {
	changed := claim.Incarnation != t.last.Incarnation || claim.Released
	t.next = offset + 1
	t.last = claim
	t.known = true
	t.lastFence = claim.Fence
	if claim.Fence == 0 {
		t.lastFence = fenceAt(offset)
	}
	t.seen = t.boot.Elapsed()
	if claim.Incarnation != t.options.Incarnation {
		if t.fence != 0 {
			t.lose("another VM claimed it")
		}
		if changed {
			event.LeaseSeen.Log(t.logger, slog.String("Holder", claim.Holder), slog.Uint64("Offset", uint64(offset)),
				slog.Bool("Released", claim.Released))
		}
		return
	}
	if claim.Sequence != t.pending || claim.Released || t.stopped || t.seen >= t.sent+t.options.Term {
		return
	}
	if claim.Fence == 0 {
		t.fence = fenceAt(offset)
		event.LeaseAcquired.Log(t.logger, slog.Uint64("Fence", t.fence))
	}
	t.until = max(t.until, t.sent+t.options.Term)
}

// sleep waits and reports whether the context goes on.
func (t *Tenure) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-t.clock.After(d):
		return true
	}
}

// Refused notes that a runner has seen a higher fencing number than one of this VM's: the tenure it belongs to is over.
func (t *Tenure) Refused(fence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence == fence && fence != 0 {
		t.lose("a runner has seen a higher fencing number")
	}
}
