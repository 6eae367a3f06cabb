package origin

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
)

// recoveryTime is how long after this VM has learned that the log was restored the streams that it lost are there again: other VMs learn
// of it by a heartbeat of the lease holder, which may only notice it as it renews the lease.
const recoveryTime = 3 * time.Second

// renewalTime is how long the runners take to renew registrations that a restored store lacks.
const renewalTime = 2500 * time.Millisecond

// noticeRestore checks whether the log has entered a later era, even if this VM does not read it, and whether it did so shortly before this VM
// started.
func (t *Tracker) noticeRestore() {
	restored := t.Peers.LogRestored()
	era := max(t.Log.Era(), t.Peers.LogEra())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enterEra(era)
	if restored && t.restoredAt.IsZero() {
		t.restoredAt = t.Clock.Now()
	}
}

// enterEra handles a statement that the log is in an era; the caller holds the lock.
func (t *Tracker) enterEra(era logservice.Era) {
	if era <= t.era {
		return
	}
	first := t.era == 0
	t.era = era
	if !first {
		t.restored()
	}
}

// restored has the streams reported again that the log may have lost, and the log read anew: it came back from a copy. The caller holds the
// lock.
func (t *Tracker) restored() {
	now := t.Clock.Now()
	t.restoredAt = now
	t.next = logservice.Position{Era: t.era}
	t.logged.moveTo(t.unlogged, now)
	t.unloggedPending = true
	var streams int
	for _, service := range t.mixes.mixedServices(memory, now) {
		streams += t.own.collect(service, t.outgoing) + t.kept.collect(service, t.outgoing)
	}
	event.StreamsReported.Log(t.Logger, slog.Uint64("Era", uint64(t.era)), slog.Int("Streams", streams))
}

// registrationsRenewed reports whether the runners have registered again if the store was restored; the caller holds the lock.
func (t *Tracker) registrationsRenewed(now time.Time) bool {
	return t.restoredAt.IsZero() || now.Sub(t.restoredAt) >= renewalTime
}

// recoverUnlogged has this VM, as the lease holder, append the streams that the log named before it was restored. The VMs that began them
// may have ended.
func (t *Tracker) recoverUnlogged() {
	holder := t.Peers.HoldsLease()
	now := t.Clock.Now()
	t.unlogged.expire(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !holder || !t.unloggedPending {
		return
	}
	t.unloggedPending = false
	for _, service := range t.mixes.mixedServices(memory, now) {
		t.unlogged.collect(service, t.outgoing)
	}
}

// catchUp has a VM that has just got the lease read the log, so that it can restore what the log loses later of VMs that have ended.
func (t *Tracker) catchUp(ctx context.Context) {
	holder := t.Peers.HoldsLease()
	now := t.Clock.Now()
	t.mu.Lock()
	switch {
	case !holder:
		t.heldSince = time.Time{}
	case t.heldSince.IsZero():
		t.heldSince = now
	}
	caughtUp := !holder || t.readToEnd.After(t.heldSince)
	t.mu.Unlock()
	if !caughtUp && t.mixes.anyWithin(memory, now) {
		t.reads.DoChan("", func() (any, error) { return nil, t.read(ctx) })
	}
}

// ReceiveLogged handles streams that the lease holder has appended to the log. This VM reports them again if the log was restored from a copy,
// as the holder may be lost at the same time.
func (t *Tracker) ReceiveLogged(batches []Batch) {
	now := t.Clock.Now()
	for _, batch := range batches {
		for _, k := range batch.keys() {
			t.kept.add(k, batch.origin(), now)
		}
	}
}

// recovering reports whether the log was restored so recently that it may still lack streams.
func (t *Tracker) recovering() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.restoredAt.IsZero() && t.Clock.Since(t.restoredAt) < recoveryTime
}

// withoutLogged returns batches without the streams that the log is known to name: after it was restored, several VMs report the same ones.
// A log that states no eras may have been restored unnoticed.
func (t *Tracker) withoutLogged(batches []Batch) []Batch {
	t.mu.Lock()
	statesEras := t.era != 0
	t.mu.Unlock()
	if !statesEras {
		return batches
	}
	var unlogged []Batch
	for _, batch := range batches {
		p := make(pending)
		for _, k := range batch.keys() {
			if _, ok := t.logged.get(k); !ok {
				p.add(batch.origin(), k)
			}
		}
		unlogged = append(unlogged, p.batches(batch.At)...)
	}
	return unlogged
}
