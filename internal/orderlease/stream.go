package orderlease

import (
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// appendRecord appends a record of this VM at the end of the stream as known here, and returns when it was sent.
func (l *Lease) appendRecord(ctx context.Context, fence uint64, released bool) (time.Duration, error) {
	l.mu.Lock()
	l.sequence++
	at := l.nextOffset
	record := Record{
		Holder:      l.options.Name,
		Address:     l.options.Address,
		Incarnation: l.options.Incarnation,
		Sequence:    l.sequence,
		Fence:       fence,
		Released:    released,
	}
	if l.options.VMs != nil {
		record.VMs = l.options.VMs(l.newest.VMs, fence)
	}
	sent := l.bootClock.Elapsed()
	l.pendingSequence, l.pendingSentAt = record.Sequence, sent
	l.mu.Unlock()
	payload, err := cbor.Marshal(record)
	if err != nil {
		return 0, err
	}
	if err := l.log.AppendAt(ctx, Stream, at, payload); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextOffset == at {
		l.apply(at, record)
	}
	return sent, nil
}

// catchUp reads the records that are not yet known, waiting up to wait for the first one. It reads a page more than needed only
// if the log does not tell where the stream ends.
func (l *Lease) catchUp(ctx context.Context, wait time.Duration) error {
	for {
		l.mu.Lock()
		from := l.nextOffset
		l.mu.Unlock()
		page, err := l.log.Read(ctx, Stream, from, wait)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 && page.Next <= from {
			return nil
		}
		l.mu.Lock()
		l.nextOffset = max(l.nextOffset, page.First)
		for _, record := range page.Records {
			if record.Offset >= l.nextOffset {
				l.applyPayload(record)
			}
		}
		l.mu.Unlock()
		if page.End > 0 && page.Next >= page.End {
			return nil
		}
		wait = 0
	}
}

// applyPayload decodes and applies a record; the caller holds the lock.
func (l *Lease) applyPayload(record logservice.Record) {
	var decoded Record
	if err := cbor.Unmarshal(record.Payload, &decoded); err != nil {
		event.RecordSkipped.Log(l.logger, slog.Uint64("Offset", uint64(record.Offset)), event.Error(err))
		l.nextOffset = record.Offset + 1
		return
	}
	l.apply(record.Offset, decoded)
}

// apply makes a record the newest one; the caller holds the lock.
func (l *Lease) apply(offset logservice.Offset, record Record) {
	changed := record.Incarnation != l.newest.Incarnation || record.Released
	if changed {
		l.holderChangedAt = l.bootClock.Elapsed()
	}
	l.nextOffset = offset + 1
	l.newest = record
	l.hasRecord = true
	l.newestFence = record.Fence
	if record.Fence == 0 {
		l.newestFence = fenceAt(offset)
	}
	l.newestSeenAt = l.bootClock.Elapsed()
	if record.Incarnation != l.options.Incarnation {
		if l.fence != 0 {
			l.loseLease("another VM claimed the lease")
		}
		if changed {
			event.LeaseSeen.Log(l.logger, slog.String("Holder", record.Holder), slog.Uint64("Offset", uint64(offset)),
				slog.Bool("Released", record.Released))
		}
		return
	}
	if record.Sequence != l.pendingSequence || record.Released || l.stopped || l.newestSeenAt >= l.pendingSentAt+l.options.Term {
		return
	}
	if record.Fence == 0 {
		l.fence = fenceAt(offset)
		event.LeaseAcquired.Log(l.logger, slog.Uint64("Fence", l.fence))
	}
	l.expiresAt = max(l.expiresAt, l.pendingSentAt+l.options.Term)
}
