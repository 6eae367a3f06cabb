package claim

import (
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/google/uuid"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
)

// State is the immutable state of one partition: for each key, the first claim in offset order and its outcome.
type State struct {
	lastOffset logservice.Offset
	window     time.Duration
	// period is the number of the time window in which the current entries were claimed. The entries of the window before it
	// are in previous; older ones are dropped.
	period   int64
	current  *immutable.Map[string, Entry]
	previous *immutable.Map[string, Entry]
}

// New returns the state before the first record. Keys are kept for at least the given window.
func New(window time.Duration) State {
	return State{
		window:   window,
		current:  immutable.NewMap[string, Entry](nil),
		previous: immutable.NewMap[string, Entry](nil),
	}
}

// LastOffset returns the offset of the last record that was applied.
func (s State) LastOffset() logservice.Offset { return s.lastOffset }

// Snapshot implements replay.State. No snapshot is needed, because keys are kept for less time than the log retains records.
func (s State) Snapshot() (record.Envelope, bool) { return record.Envelope{}, false }

// Restore implements replay.State.
func (s State) Restore(e record.Envelope) (State, error) {
	return s, &record.UnknownKindError{Kind: e.Kind}
}

// Len returns the number of stored keys.
func (s State) Len() int { return s.current.Len() + s.previous.Len() }

// Entry returns the entry of a key, if it was claimed.
func (s State) Entry(key string) (Entry, bool) {
	if entry, ok := s.current.Get(key); ok {
		return entry, true
	}
	return s.previous.Get(key)
}

// Apply returns the state after applying a record.
func (s State) Apply(r logservice.Record) (State, error) {
	if r.Offset <= s.lastOffset {
		return s, &record.OutOfOrderError{Offset: uint64(r.Offset), LastApplied: uint64(s.lastOffset)}
	}
	s.lastOffset = r.Offset
	s = s.evictExpired(r.Time)
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

// evictExpired drops the keys that were claimed before the previous window. It uses the timestamps that the log service
// assigns to records, so that all readers drop the same keys at the same record.
func (s State) evictExpired(now time.Time) State {
	period := now.UnixNano() / int64(s.window)
	if period <= s.period {
		return s
	}
	s.previous = s.current
	if period > s.period+1 {
		s.previous = immutable.NewMap[string, Entry](nil)
	}
	s.current = immutable.NewMap[string, Entry](nil)
	s.period = period
	return s
}

func (s State) withClaim(claim Claim, claimedAt time.Time) State {
	if entry, exists := s.Entry(claim.Key); exists && !(entry.Released() && entry.Attempt != claim.Attempt) {
		return s
	}
	if Expired(claim.Key, claimedAt, s.window) {
		return s
	}
	s.current = s.current.Set(claim.Key, Entry{
		Attempt: claim.Attempt,
		Digest:  claim.Digest,
		Claimed: claimedAt,
	})
	return s
}

func (s State) withOutcome(outcome Outcome) State {
	entry, ok := s.Entry(outcome.Key)
	if !ok || entry.Attempt != outcome.Attempt || entry.Outcome != nil {
		return s
	}
	entry.Outcome = &outcome
	if _, ok := s.current.Get(outcome.Key); ok {
		s.current = s.current.Set(outcome.Key, entry)
		return s
	}
	s.previous = s.previous.Set(outcome.Key, entry)
	return s
}

// Expired reports whether a key contains a timestamp, as a version 7 UUID does, that is older than window. The entry of such
// a key may have been dropped already, so the call may have run before and must not run again.
func Expired(key string, now time.Time, window time.Duration) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	seconds, nanos := id.Time().UnixTime()
	return now.Sub(time.Unix(seconds, nanos)) > window
}
