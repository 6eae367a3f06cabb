package replay

import (
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// maxPending limits the records that are kept after a gap until a snapshot closes it.
const maxPending = 4096

// Cursor is an immutable position in a stream: the state built so far and, after a gap, the records that can't be applied
// yet. A gap arises when records pass retention before they are read.
type Cursor[S State[S]] struct {
	state S
	// lastOffset is the offset of the last record read.
	lastOffset logservice.Offset
	// gap is set while records before the pending ones are missing, so that none can be applied until a snapshot.
	gap     bool
	pending []logservice.Record
	// knownFrom is the offset from which every record is applied or pending, while there is a gap.
	knownFrom logservice.Offset
	// sinceSnapshot counts the records read after the last snapshot.
	sinceSnapshot int
}

// NewCursor returns a cursor at the start of a stream.
func NewCursor[S State[S]](initial S) Cursor[S] {
	return Cursor[S]{
		state: initial,
	}
}

// State returns the state built so far.
func (c Cursor[S]) State() S { return c.state }

// LastOffset returns the offset of the last record read.
func (c Cursor[S]) LastOffset() logservice.Offset { return c.lastOffset }

// HasGap reports whether the cursor is waiting for a snapshot to close a gap.
func (c Cursor[S]) HasGap() bool { return c.gap }

// SinceSnapshot returns how many records were read after the last snapshot.
func (c Cursor[S]) SinceSnapshot() int { return c.sinceSnapshot }

// WithState returns the cursor advanced to a state built elsewhere, and whether that was newer than its own.
func (c Cursor[S]) WithState(state S) (Cursor[S], bool) {
	if state.LastOffset() <= c.state.LastOffset() {
		return c, false
	}
	if c.gap && state.LastOffset()+1 < c.knownFrom {
		// The state is newer, but records between it and the pending ones are still missing.
		c.state = state
		return c, true
	}
	c.state = state
	c.lastOffset = max(c.lastOffset, state.LastOffset())
	return c.withPendingApplied(), true
}

// Apply returns the cursor after a record.
func (c Cursor[S]) Apply(r logservice.Record) (Cursor[S], error) {
	if r.Offset <= c.lastOffset {
		return c, &record.OutOfOrderError{Offset: uint64(r.Offset), LastApplied: uint64(c.lastOffset)}
	}
	if r.Offset > c.lastOffset+1 {
		c = c.withGap(r.Offset)
	}
	c.lastOffset = r.Offset
	c.sinceSnapshot++
	envelope, err := record.Decode(r.Payload)
	if err == nil && envelope.Kind == SnapshotKind {
		c.sinceSnapshot = 0
		return c.withSnapshot(envelope)
	}
	if c.gap {
		return c.withPending(r), nil
	}
	c.state, err = c.state.Apply(r)
	return c, err
}

// withGap marks the records before an offset as missing, unless the state doesn't need them.
func (c Cursor[S]) withGap(knownFrom logservice.Offset) Cursor[S] {
	if _, needed := c.state.Snapshot(); !needed {
		return c
	}
	c.gap = true
	c.pending = nil
	c.knownFrom = knownFrom
	return c
}

// withPending keeps a record until the gap is closed, dropping the oldest one at the limit.
func (c Cursor[S]) withPending(r logservice.Record) Cursor[S] {
	c.pending = append(slices.Clip(c.pending), r)
	if len(c.pending) > maxPending {
		c.pending = c.pending[1:]
		c.knownFrom = c.pending[0].Offset
	}
	return c
}

// withSnapshot closes a gap: the snapshot replaces the missing records, and the pending ones are applied to it.
func (c Cursor[S]) withSnapshot(envelope record.Envelope) (Cursor[S], error) {
	if !c.gap {
		return c, nil
	}
	state, err := c.state.Restore(envelope)
	if err != nil {
		return c, err
	}
	if state.LastOffset()+1 < c.knownFrom || state.LastOffset() < c.state.LastOffset() {
		// The snapshot is older than the state, or records between it and the pending ones are still missing.
		return c, nil
	}
	c.state = state
	return c.withPendingApplied(), nil
}

// withPendingApplied applies the pending records to the state and closes the gap.
func (c Cursor[S]) withPendingApplied() Cursor[S] {
	for _, r := range c.pending {
		if r.Offset > c.state.LastOffset() {
			c.state, _ = c.state.Apply(r)
		}
	}
	c.pending = nil
	c.gap = false
	return c
}
