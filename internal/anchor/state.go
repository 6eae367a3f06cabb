package anchor

import (
	"fmt"
	"maps"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/internal/replay"
)

// State is the immutable state built from the records of the Anchors stream.
type State struct {
	lastOffset logservice.Offset
	// anchors maps each model to its anchor.
	anchors map[string]string
	// barriers maps each shard to the fence below which takes are rejected.
	barriers map[string]logservice.Offset
}

// StaleTakeError reports a take under a lease older than the barrier of its shard.
type StaleTakeError struct {
	Shard string
	Fence logservice.Offset
}

// Error implements error.
func (e *StaleTakeError) Error() string {
	return fmt.Sprintf("take by shard %s under lease %d follows the barrier of a newer lease", e.Shard, e.Fence)
}

// New returns the state before the first record.
func New() State { return State{} }

// LastOffset returns the offset of the last applied record.
func (s State) LastOffset() logservice.Offset { return s.lastOffset }

// Snapshot implements replay.State.
func (s State) Snapshot() (record.Envelope, bool) {
	envelope, err := record.New(replay.SnapshotKind, Snapshot{
		Through:  s.lastOffset,
		Anchors:  s.anchors,
		Barriers: s.barriers,
	})
	return envelope, err == nil
}

// Restore implements replay.State.
func (s State) Restore(e record.Envelope) (State, error) {
	snapshot, err := record.Body[Snapshot](e)
	if err != nil {
		return s, err
	}
	return State{
		lastOffset: snapshot.Through,
		anchors:    snapshot.Anchors,
		barriers:   snapshot.Barriers,
	}, nil
}

// Anchor returns the shard that must keep a replica of a model.
func (s State) Anchor(model string) (string, bool) {
	shard, ok := s.anchors[model]
	return shard, ok
}

// Barrier returns the fence of a shard's newest barrier: takes under older leases are rejected.
func (s State) Barrier(shard string) logservice.Offset { return s.barriers[shard] }

// Apply implements replay.State.
func (s State) Apply(r logservice.Record) (State, error) {
	if r.Offset <= s.lastOffset {
		return s, &record.OutOfOrderError{Offset: uint64(r.Offset), LastApplied: uint64(s.lastOffset)}
	}
	s.lastOffset = r.Offset
	envelope, err := record.Decode(r.Payload)
	if err != nil {
		return s, err
	}
	switch envelope.Kind {
	case TakeKind:
		return s.withTake(envelope)
	case BarrierKind:
		return s.withBarrier(envelope)
	default:
		return s, &record.UnknownKindError{Kind: envelope.Kind}
	}
}

func (s State) withTake(e record.Envelope) (State, error) {
	take, err := record.Body[Take](e)
	if err != nil {
		return s, err
	}
	if take.Fence < s.barriers[take.Shard] {
		return s, &StaleTakeError{Shard: take.Shard, Fence: take.Fence}
	}
	anchors := maps.Clone(s.anchors)
	if anchors == nil {
		anchors = make(map[string]string)
	}
	for model, from := range take.From {
		if anchors[model] == from {
			anchors[model] = take.Shard
		}
	}
	s.anchors = anchors
	return s, nil
}

func (s State) withBarrier(e record.Envelope) (State, error) {
	barrier, err := record.Body[Barrier](e)
	if err != nil {
		return s, err
	}
	if barrier.Fence <= s.barriers[barrier.Shard] {
		return s, nil
	}
	barriers := maps.Clone(s.barriers)
	if barriers == nil {
		barriers = make(map[string]logservice.Offset)
	}
	barriers[barrier.Shard] = barrier.Fence
	s.barriers = barriers
	return s, nil
}
