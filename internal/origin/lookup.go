package origin

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/pause"
)

// Origin is what is known of the release that began a stream.
type Origin struct {
	// Release is the release, if it is Known.
	Release string
	Known   bool
	// Single is set if the service had a single release for as long as a stream may be taken up.
	Single bool
}

// Lookup returns the release that began the stream of a request of any VM. It waits for a short time for one that is being reported, and
// for a read of the log that began later than the lookup. What this VM knew of the releases before the lookup does not count, because it
// may have been out of step with the VM that began the stream.
func (t *Tracker) Lookup(ctx context.Context, service, requestID string) Origin {
	t.observe()
	k := keyOf(requestID)
	started := t.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, t.Clock, maxLookupTime)
	defer cancel()
	var counted bool
	for {
		t.noticeRestore()
		if b, ok := t.get(k); ok && b.service == service {
			return Origin{
				Release: b.release,
				Known:   true,
			}
		}
		if !counted && !t.mixes.mixedWithin(service, memory, t.Clock.Now()) {
			census, err := t.censuses.get(ctx)
			if release, ok := census.Single[service]; ok && !t.mixes.mixedWithin(service, memory, t.Clock.Now()) {
				return Origin{
					Release: release,
					Known:   true,
					Single:  true,
				}
			}
			if counted = err == nil; counted {
				continue
			}
		}
		limit := maxLookupTime
		if t.readSince(started) && !t.recovering() {
			limit = lookupTimeout
		}
		left := started.Add(limit).Sub(t.Clock.Now())
		if ctx.Err() != nil || left <= 0 {
			return Origin{}
		}
		done := t.reads.DoChan("", func() (any, error) { return nil, t.read(context.WithoutCancel(ctx)) })
		select {
		case <-done:
		case <-t.Clock.After(left):
		case <-ctx.Done():
		}
	}
}

// readSince reports whether a read that began after a time has reached the end of the log.
func (t *Tracker) readSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readToEnd.After(since)
}

func (t *Tracker) get(k key) (begun, bool) {
	if b, ok := t.own.get(k); ok {
		return b, true
	}
	if b, ok := t.kept.get(k); ok {
		return b, true
	}
	if b, ok := t.logged.get(k); ok {
		return b, true
	}
	return t.unlogged.get(k)
}

// read reads what was appended to the log since the last read. The pause between two reads keeps all VMs together within the rate of the
// log.
func (t *Tracker) read(ctx context.Context) error {
	interval := max(minReadInterval, time.Duration(t.Peers.VMs())*readIntervalPerVM)
	t.mu.Lock()
	wait := interval - t.Clock.Since(t.lastRead)
	t.mu.Unlock()
	if wait > 0 {
		pause.For(ctx, t.Clock, wait)
	}
	return t.readPage(ctx, interval)
}

// readPage reads the next page of the log, waiting for a record if there is none.
func (t *Tracker) readPage(ctx context.Context, wait time.Duration) error {
	t.mu.Lock()
	began := t.Clock.Now()
	t.lastRead = began
	from := t.next
	t.mu.Unlock()
	page, err := t.Log.Read(ctx, Stream, from, wait)
	t.noticeRestore()
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed *logservice.EraChangedError
	switch {
	case errors.As(err, &changed):
		t.enterEra(changed.Era)
		return err
	case notCreated(err):
		if t.next.Offset > 0 {
			t.restored()
		}
		t.readToEnd = began
		return nil
	case err != nil:
		return err
	}
	t.enterEra(page.Era)
	switch {
	case t.next.Offset != from.Offset || page.Era != 0 && page.Era < t.era:
		// The log was restored meanwhile, and is to be read from its start.
		return nil
	case page.Next < from.Offset:
		// The log goes back without stating an era.
		t.restored()
		return nil
	}
	for _, record := range page.Records {
		t.applyRecord(record)
	}
	t.next = logservice.Position{
		Era:    page.Era,
		Offset: page.Next,
	}
	if page.First > from.Offset {
		// Nothing was read: the records up to there have expired.
		t.lastRead = time.Time{}
		return nil
	}
	if page.Next >= page.End {
		t.readToEnd = began
	}
	return nil
}

// addLogged remembers the streams of a batch that is in the log.
func (t *Tracker) addLogged(batch Batch) {
	now := t.Clock.Now()
	for _, k := range batch.keys() {
		t.logged.add(k, batch.origin(), now)
	}
}

// notCreated reports whether a read failed because nothing was appended to the stream yet.
func notCreated(err error) bool {
	var status *logservice.StatusError
	return errors.As(err, &status) && status.Status == http.StatusNotFound
}

// applyRecord remembers what a record names; the caller holds the lock.
func (t *Tracker) applyRecord(record logservice.Record) {
	var batches []Batch
	if err := cbor.Unmarshal(record.Payload, &batches); err != nil {
		event.RecordSkipped.Log(t.Logger, slog.String("Stream", Stream), slog.Uint64("Offset", uint64(record.Offset)), event.Error(err))
		return
	}
	for _, batch := range batches {
		t.addLogged(batch)
		if at := time.UnixMilli(batch.At); at.After(t.loggedAt[batch.Service]) {
			t.loggedAt[batch.Service] = at
		}
	}
}
