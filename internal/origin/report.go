package origin

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// report sends what is to be reported to the lease holder. Without a link to it, or as the holder, this VM appends it to the log, with what
// other VMs reported.
func (t *Tracker) report(ctx context.Context) {
	batches := t.send(t.takeOutgoing())
	now := t.Clock.Now()
	t.mu.Lock()
	batches = append(t.received, batches...)
	t.received = nil
	due := t.Peers.HoldsLease() || now.Sub(t.lastAppend) >= time.Duration(t.Peers.VMs())*appendIntervalPerVM
	if due {
		t.lastAppend = now
	}
	t.mu.Unlock()
	for due && len(batches) > 0 && t.appending.Load() < maxAppends {
		n := fitRecord(batches)
		if unlogged := t.withoutLogged(batches[:n]); len(unlogged) > 0 {
			t.startAppend(ctx, unlogged)
		}
		batches = batches[n:]
	}
	t.keep(batches)
}

// startAppend appends batches to the log while later ones are collected, and keeps them for another time if that fails.
func (t *Tracker) startAppend(ctx context.Context, batches []Batch) {
	t.appending.Add(1)
	t.appends.Go(func() {
		defer t.appending.Add(-1)
		if !t.append(ctx, batches) {
			t.keep(batches)
			return
		}
		t.Peers.SendLogged(batches)
	})
}

// takeOutgoing returns what is to be reported. After the link has changed, this includes what the former holder may not have appended.
func (t *Tracker) takeOutgoing() []Batch {
	now := t.Clock.Now()
	link := t.Peers.Links()
	t.mu.Lock()
	defer t.mu.Unlock()
	batches := t.outgoing.batches(now.UnixMilli())
	t.outgoing = make(pending)
	t.reported = newerThan(t.reported, now.Add(-confirmTime))
	if link != t.link || t.Peers.HoldsLease() {
		batches = append(t.reported, batches...)
		t.reported = nil
	}
	t.link = link
	return batches
}

// send sends batches to the lease holder and returns those for which there is no link.
func (t *Tracker) send(batches []Batch) []Batch {
	for len(batches) > 0 && !t.Peers.HoldsLease() {
		n := fitRecord(batches)
		if !t.Peers.SendOrigins(batches[:n]) {
			break
		}
		t.mu.Lock()
		t.reported = append(t.reported, batches[:n]...)
		t.mu.Unlock()
		batches = batches[n:]
	}
	return batches
}

// append appends batches to the log and reports whether they are there.
func (t *Tracker) append(ctx context.Context, batches []Batch) bool {
	payload, err := cbor.Marshal(batches)
	if err != nil {
		return false
	}
	t.mu.Lock()
	sent := t.era
	t.mu.Unlock()
	stated, err := t.Log.Append(ctx, Stream, payload)
	if err != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enterEra(stated)
	if sent != 0 && t.era != sent {
		// The log may have been restored after the append, from a copy that lacks the record.
		return false
	}
	for _, batch := range batches {
		t.addLogged(batch)
	}
	return true
}

// keep has batches appended later, for as long as their streams may be taken up.
func (t *Tracker) keep(batches []Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = append(t.received, newerThan(batches, t.Clock.Now().Add(-memory))...)
	if len(t.received) > maxPendingBatches {
		t.received = join(t.received)
	}
}
