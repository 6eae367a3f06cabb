package origin

import "github.com/cowsliparch/cowsliparch/internal/roster"

// RecordStart records that a runner sends the first event of a stream to its caller.
func (t *Tracker) RecordStart(requestID string, runner *roster.Runner) {
	now := t.Clock.Now()
	b := begun{
		service: runner.Service,
		release: runner.Release,
	}
	k := keyOf(requestID)
	t.own.add(k, b, now)
	mixed := t.mixes.mixedWithin(runner.Service, memory, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if mixed {
		t.outgoing.add(b, k)
	} else {
		t.starts.add(b, k)
	}
}

// ReceiveStarts handles the report of another VM on streams that began while their service had a single release there. This VM reports them
// once there are several.
func (t *Tracker) ReceiveStarts(batches []Batch) {
	now := t.Clock.Now()
	for _, batch := range batches {
		b := batch.origin()
		keys := batch.keys()
		for _, k := range keys {
			t.kept.add(k, b, now)
		}
		if t.mixes.mixedWithin(batch.Service, memory, now) {
			t.mu.Lock()
			t.outgoing.add(b, keys...)
			t.mu.Unlock()
		}
	}
}

// reportStarts tells other VMs which streams began here while their service had a single release, because this VM may be out of reach once
// there are several. A new holder is told of all that may still be taken up.
func (t *Tracker) reportStarts() {
	link := t.Peers.Links()
	now := t.Clock.Now()
	t.mu.Lock()
	starts := t.starts
	t.starts = make(pending)
	if link != t.startsLink {
		t.own.collect("", starts)
	}
	t.startsLink = link
	t.mu.Unlock()
	for batches := starts.batches(now.UnixMilli()); len(batches) > 0; {
		n := fitRecord(batches)
		t.Peers.SendStarts(batches[:n])
		batches = batches[n:]
	}
}
