package tenure

import (
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

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
