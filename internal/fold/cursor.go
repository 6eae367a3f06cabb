package fold

import (
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// pendingRecords bounds what is kept for the time after a gap.
const pendingRecords = 4096

// Cursor is an immutable place in a stream: the state folded so far, and what to do about records that passed
// retention before they were read.
type Cursor[S State[S]] struct {
	state   S
	through logservice.Offset
	// missed tells that records before the pending ones are unknown, so that nothing can be folded until a snapshot.
	missed  bool
	pending []logservice.Record
	// known is the first offset from which on every record is folded or pending, while missed.
	known logservice.Offset
	// since counts the records after the last snapshot.
	since int
}

// NewCursor returns a cursor before the first record.
func NewCursor[S State[S]](initial S) Cursor[S] {
	return Cursor[S]{
		state: initial,
	}
}

// State returns the state folded so far.
func (c Cursor[S]) State() S { return c.state }

// Through returns the offset of the last record read.
func (c Cursor[S]) Through() logservice.Offset { return c.through }

// Missed reports whether the cursor waits for a snapshot.
func (c Cursor[S]) Missed() bool { return c.missed }

// SinceSnapshot returns how many records were read after the last snapshot.
func (c Cursor[S]) SinceSnapshot() int { return c.since }

// WithState returns the cursor moved on to a state that was folded elsewhere, and whether it is any further.
func (c Cursor[S]) WithState(state S) (Cursor[S], bool) {
	if state.Through() <= c.state.Through() {
		return c, false
	}
	if c.missed && state.Through()+1 < c.known {
		// The state is newer than the one here, but does not reach the records read since the gap.
		c.state = state
		return c, true
	}
	c.state = state
	c.through = max(c.through, state.Through())
	return c.settled(), true
}

// With returns the cursor after a record.
func (c Cursor[S]) With(r logservice.Record) (Cursor[S], error) {
	if r.Offset <= c.through {
		return c, &record.OutOfOrderError{Offset: uint64(r.Offset), Folded: uint64(c.through)}
	}
	if r.Offset > c.through+1 {
		c = c.withGap(r.Offset)
	}
	c.through = r.Offset
	c.since++
	envelope, err := record.Decode(r.Payload)
	if err == nil && envelope.Kind == SnapshotKind {
		c.since = 0
		return c.withSnapshot(envelope)
	}
	if c.missed {
		return c.withPending(r), nil
	}
	c.state, err = c.state.With(r)
	return c, err
}

// withGap notes that the records before an offset can't be read any more.
func (c Cursor[S]) withGap(known logservice.Offset) Cursor[S] {
	if _, needed := c.state.Snapshot(); !needed {
		return c
	}
	c.missed = true
	c.pending = nil
	c.known = known
	return c
}

func (c Cursor[S]) withPending(r logservice.Record) Cursor[S] {
	c.pending = append(slices.Clip(c.pending), r)
	if len(c.pending) > pendingRecords {
		c.pending = c.pending[1:]
		c.known = c.pending[0].Offset
	}
	return c
}

// withSnapshot ends a gap: the snapshot stands in for the unknown records, and those read since are folded on top.
func (c Cursor[S]) withSnapshot(envelope record.Envelope) (Cursor[S], error) {
	if !c.missed {
		return c, nil
	}
	state, err := c.state.Restore(envelope)
	if err != nil {
		return c, err
	}
	if state.Through()+1 < c.known || state.Through() < c.state.Through() {
		// Records between the snapshot and the first one read here are unknown still.
		return c, nil
	}
	c.state = state
	return c.settled(), nil
}

// settled folds what is pending on top of the state, if nothing is missing in between.
func (c Cursor[S]) settled() Cursor[S] {
	for _, r := range c.pending {
		if r.Offset > c.state.Through() {
			c.state, _ = c.state.With(r)
		}
	}
	c.pending = nil
	c.missed = false
	return c
}
