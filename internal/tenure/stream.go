package tenure

import (
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// appendRecord appends a record of this VM at the end of the stream as known here, and returns when it was sent.
func (t *Tenure) appendRecord(ctx context.Context, fence uint64, released bool) (time.Duration, error) {
	t.mu.Lock()
	t.sequence++
	at := t.nextOffset
	record := Claim{
		Holder:      t.options.Name,
		Address:     t.options.Address,
		Incarnation: t.options.Incarnation,
		Sequence:    t.sequence,
		Fence:       fence,
		Released:    released,
	}
	sent := t.bootClock.Elapsed()
	t.pendingSequence, t.pendingSentAt = record.Sequence, sent
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
	if t.nextOffset == at {
		t.apply(at, record)
	}
	return sent, nil
}

// catchUp reads the records that are not yet known, waiting up to wait for the first one.
func (t *Tenure) catchUp(ctx context.Context, wait time.Duration) error {
	for {
		t.mu.Lock()
		from := t.nextOffset
		t.mu.Unlock()
		page, err := t.log.Read(ctx, Stream, from, wait)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 && page.Next <= from {
			return nil
		}
		t.mu.Lock()
		t.nextOffset = max(t.nextOffset, page.First)
		for _, record := range page.Records {
			if record.Offset >= t.nextOffset {
				t.applyPayload(record)
			}
		}
		t.mu.Unlock()
		wait = 0
	}
}

// applyPayload decodes and applies a record; the caller holds the lock.
func (t *Tenure) applyPayload(record logservice.Record) {
	var claim Claim
	if err := cbor.Unmarshal(record.Payload, &claim); err != nil {
		event.RecordSkipped.Log(t.logger, slog.Uint64("Offset", uint64(record.Offset)), event.Error(err))
		t.nextOffset = record.Offset + 1
		return
	}
	t.apply(record.Offset, claim)
}

// apply makes a record the newest one; the caller holds the lock.
func (t *Tenure) apply(offset logservice.Offset, claim Claim) {
	changed := claim.Incarnation != t.newest.Incarnation || claim.Released
	t.nextOffset = offset + 1
	t.newest = claim
	t.hasRecord = true
	t.newestFence = claim.Fence
	if claim.Fence == 0 {
		t.newestFence = fenceAt(offset)
	}
	t.newestSeenAt = t.bootClock.Elapsed()
	if claim.Incarnation != t.options.Incarnation {
		if t.fence != 0 {
			t.loseLease("another VM claimed the lease")
		}
		if changed {
			event.LeaseSeen.Log(t.logger, slog.String("Holder", claim.Holder), slog.Uint64("Offset", uint64(offset)),
				slog.Bool("Released", claim.Released))
		}
		return
	}
	if claim.Sequence != t.pendingSequence || claim.Released || t.stopped || t.newestSeenAt >= t.pendingSentAt+t.options.Term {
		return
	}
	if claim.Fence == 0 {
		t.fence = fenceAt(offset)
		event.LeaseAcquired.Log(t.logger, slog.Uint64("Fence", t.fence))
	}
	t.expiresAt = max(t.expiresAt, t.pendingSentAt+t.options.Term)
}
