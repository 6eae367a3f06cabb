package orderlease

import (
	"context"
	"errors"
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
	at := l.next
	record := Record{
		Holder:      l.options.Name,
		Address:     l.options.Address,
		Incarnation: l.options.Incarnation,
		Era:         at.Era,
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
	err = l.log.AppendAt(ctx, Stream, at, payload)
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed *logservice.EraChangedError
	if errors.As(err, &changed) {
		l.enterEra(changed.Era)
	}
	if err != nil {
		return 0, err
	}
	if l.next == at {
		l.apply(at.Offset, record)
	}
	return sent, nil
}

// catchUp reads the records that are not yet known, waiting up to wait for the first one. It reads a page more than needed only
// if the log does not tell where the stream ends. It fails with ExpiredError if the stream ends before what is known, although the log
// states no new era.
func (l *Lease) catchUp(ctx context.Context, wait time.Duration) error {
	for {
		from := l.readPosition()
		page, err := l.log.Read(ctx, Stream, from, wait)
		var changed *logservice.EraChangedError
		if errors.As(err, &changed) {
			l.mu.Lock()
			l.enterEra(changed.Era)
			l.mu.Unlock()
			return nil
		}
		if err != nil {
			return err
		}
		if page.Next < from.Offset {
			return &logservice.ExpiredError{
				Stream: Stream,
				From:   from.Offset,
			}
		}
		if len(page.Records) == 0 && page.Next == from.Offset && page.Era == from.Era {
			return nil
		}
		l.applyPage(page)
		if page.End > 0 && page.Next >= page.End {
			return nil
		}
		wait = 0
	}
}

// applyPage applies the records of a page that are not yet known.
func (l *Lease) applyPage(page logservice.Page) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if page.Era < l.next.Era {
		return
	}
	l.enterEra(page.Era)
	l.next.Offset = max(l.next.Offset, page.First)
	for _, record := range page.Records {
		if record.Offset >= l.next.Offset {
			l.applyPayload(record)
		}
	}
}

// enterEra has the stream read again from its start if the log has entered a later era than known here. Tenures of earlier eras may go on
// for a term, and the log may have lost their records; the caller holds the lock.
func (l *Lease) enterEra(era logservice.Era) {
	if era <= l.next.Era {
		return
	}
	now := l.bootClock.Elapsed()
	restored := l.next.Era != 0
	l.next = logservice.Position{Era: era}
	l.eraFreeAt = now + l.options.Term
	if !restored {
		return
	}
	event.LogRestored.Log(l.logger, slog.String("Stream", Stream), slog.Uint64("Era", uint64(era)))
	l.validEra = era
	if l.fence != 0 {
		l.continuedUntil = l.expiresAt
		l.loseLease("the log was restored from a copy")
	}
}

// applyPayload decodes and applies a record; the caller holds the lock.
func (l *Lease) applyPayload(record logservice.Record) {
	var decoded Record
	if err := cbor.Unmarshal(record.Payload, &decoded); err != nil {
		event.RecordSkipped.Log(l.logger, slog.Uint64("Offset", uint64(record.Offset)), event.Error(err))
		l.next.Offset = record.Offset + 1
		return
	}
	l.apply(record.Offset, decoded)
}

// apply makes a record the newest one; the caller holds the lock.
func (l *Lease) apply(offset logservice.Offset, record Record) {
	at := l.next.WithOffset(offset)
	l.next.Offset = offset + 1
	if record.Era != 0 && record.Era < l.validEra {
		return
	}
	l.validEra = max(l.validEra, record.Era)
	if record.Era == at.Era {
		l.eraFreeAt = 0
	}
	changed := record.Incarnation != l.newest.Incarnation || record.Released
	if changed {
		l.holderChangedAt = l.bootClock.Elapsed()
	}
	l.newest = record
	l.hasRecord = true
	l.newestFence = record.Fence
	if record.Fence == 0 {
		l.newestFence = fenceAt(logservice.Position{
			Era:    record.Era,
			Offset: offset,
		})
	}
	l.newestSeenAt = l.bootClock.Elapsed()
	if record.Incarnation != l.options.Incarnation {
		l.continuedUntil = 0
		if l.fence != 0 {
			l.loseLease("another VM claimed the lease")
		}
		if changed {
			event.LeaseSeen.Log(l.logger, slog.String("Holder", record.Holder), slog.Uint64("Era", uint64(at.Era)),
				slog.Uint64("Offset", uint64(offset)), slog.Bool("Released", record.Released))
		}
		return
	}
	outdated := record.Sequence != l.pendingSequence || record.Era != at.Era
	if outdated || record.Released || l.stopped || l.newestSeenAt >= l.pendingSentAt+l.options.Term {
		return
	}
	if record.Fence == 0 {
		l.fence = fenceAt(at)
		l.continuedUntil = 0
		event.LeaseAcquired.Log(l.logger, slog.Uint64("Fence", l.fence))
	}
	l.expiresAt = max(l.expiresAt, l.pendingSentAt+l.options.Term)
}
