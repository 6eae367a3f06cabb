package claim

import (
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/google/uuid"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// State is the fold of one partition: for each key, the first claim in offset order and its outcome.
type State struct {
	through logservice.Offset
	window  time.Duration
	// period numbers the window in which the newer entries were claimed.
	period int64
	newer  *immutable.Map[string, Entry]
	older  *immutable.Map[string, Entry]
}

// New returns the state before the first record; keys are remembered for at least window.
func New(window time.Duration) State {
	return State{
		window: window,
		newer:  immutable.NewMap[string, Entry](nil),
		older:  immutable.NewMap[string, Entry](nil),
	}
}

// Through returns the offset of the last record folded.
func (s State) Through() logservice.Offset { return s.through }

// Snapshot implements fold.State: keys are remembered for less than the log retains, so none is needed.
func (s State) Snapshot() (record.Envelope, bool) { return record.Envelope{}, false }

// Restore implements fold.State.
func (s State) Restore(e record.Envelope) (State, error) {
	return s, &record.UnknownKindError{Kind: e.Kind}
}

// Len returns how many keys are remembered.
func (s State) Len() int { return s.newer.Len() + s.older.Len() }

// Entry returns what is known of a key.
func (s State) Entry(key string) (Entry, bool) {
	if entry, ok := s.newer.Get(key); ok {
		return entry, true
	}
	return s.older.Get(key)
}

// With returns the state after a record.
func (s State) With(r logservice.Record) (State, error) {
	if r.Offset <= s.through {
		return s, &record.OutOfOrderError{Offset: uint64(r.Offset), Folded: uint64(s.through)}
	}
	s.through = r.Offset
	s = s.withTime(r.Time)
	envelope, err := record.Decode(r.Payload)
	if err != nil {
		return s, err
	}
	if envelope.Kind != BatchKind {
		return s, &record.UnknownKindError{Kind: envelope.Kind}
	}
	batch, err := record.Body[Batch](envelope)
	if err != nil {
		return s, err
	}
	for _, claim := range batch.Claims {
		s = s.withClaim(claim, r.Time)
	}
	for _, outcome := range batch.Outcomes {
		s = s.withOutcome(outcome)
	}
	return s, nil
}

// withTime forgets the keys claimed more than a whole window ago. The log's own time decides, alike for every reader.
func (s State) withTime(at time.Time) State {
	period := at.UnixNano() / int64(s.window)
	if period <= s.period {
		return s
	}
	s.older = s.newer
	if period > s.period+1 {
		s.older = immutable.NewMap[string, Entry](nil)
	}
	s.newer = immutable.NewMap[string, Entry](nil)
	s.period = period
	return s
}

func (s State) withClaim(claim Claim, at time.Time) State {
	if entry, taken := s.Entry(claim.Key); taken && !(entry.Free() && entry.Attempt != claim.Attempt) {
		return s
	}
	if TooOld(claim.Key, at, s.window) {
		return s
	}
	s.newer = s.newer.Set(claim.Key, Entry{
		Attempt: claim.Attempt,
		Digest:  claim.Digest,
		Claimed: at,
	})
	return s
}

func (s State) withOutcome(outcome Outcome) State {
	entry, ok := s.Entry(outcome.Key)
	if !ok || entry.Attempt != outcome.Attempt || entry.Outcome != nil {
		return s
	}
	entry.Outcome = &outcome
	if _, ok := s.newer.Get(outcome.Key); ok {
		s.newer = s.newer.Set(outcome.Key, entry)
		return s
	}
	s.older = s.older.Set(outcome.Key, entry)
	return s
}

// TooOld reports whether a key carries a time of its own, as a version 7 UUID does, that is further back than keys
// are remembered: such a call may have run before and must not run again.
func TooOld(key string, now time.Time, window time.Duration) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	seconds, nanos := id.Time().UnixTime()
	return now.Sub(time.Unix(seconds, nanos)) > window
}
