package configuration

import (
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/internal/replay"
)

// maxOutcomes is the number of latest outcomes that a State keeps.
const maxOutcomes = 256

// State is the immutable state of the Configuration stream: the version and the preset in force, if any.
type State struct {
	lastOffset    logservice.Offset
	version       logservice.Offset
	winner        string
	configuration Configuration
	document      []byte
	preset        Preset
	outcomes      []Outcome
}

// New returns the state before the first record.
func New() State { return State{} }

// LastOffset returns the offset of the last record that was applied.
func (s State) LastOffset() logservice.Offset { return s.lastOffset }

// Version returns the version in force, or 0 if there is none.
func (s State) Version() logservice.Offset { return s.version }

// Configuration returns the configuration in force.
func (s State) Configuration() Configuration { return s.configuration }

// Document returns the configuration in force as it was published.
func (s State) Document() []byte { return s.document }

// Preset returns the preset in force.
func (s State) Preset() Preset { return s.preset }

// Outcome returns the outcome of the record with the given ID, if it is still kept.
func (s State) Outcome(id string) (Outcome, bool) {
	for i := len(s.outcomes) - 1; i >= 0; i-- {
		if s.outcomes[i].ID == id {
			return s.outcomes[i], true
		}
	}
	return Outcome{}, false
}

// Snapshot implements replay.State.
func (s State) Snapshot() (record.Envelope, bool) {
	envelope, err := record.New(replay.SnapshotKind, s.SnapshotBody())
	return envelope, err == nil
}

// Restore implements replay.State.
func (s State) Restore(envelope record.Envelope) (State, error) {
	snapshot, err := record.Body[Snapshot](envelope)
	if err != nil {
		return s, err
	}
	return FromSnapshot(snapshot)
}

// SnapshotBody returns the snapshot of the state, which is the body of a snapshot record.
func (s State) SnapshotBody() Snapshot {
	return Snapshot{
		Through:  s.lastOffset,
		Version:  s.version,
		Winner:   s.winner,
		Document: s.document,
		Preset:   s.preset.Name,
		Outcomes: s.outcomes,
	}
}

// FromSnapshot returns the state that a snapshot was taken of.
func FromSnapshot(snapshot Snapshot) (State, error) {
	s := State{
		lastOffset: snapshot.Through,
		version:    snapshot.Version,
		winner:     snapshot.Winner,
		document:   snapshot.Document,
		outcomes:   snapshot.Outcomes,
	}
	if snapshot.Version == 0 {
		return s, nil
	}
	c, err := Decode(snapshot.Document)
	if err != nil {
		return State{}, err
	}
	preset, ok := c.Preset(snapshot.Preset)
	if !ok {
		return State{}, &UnknownPresetError{Preset: snapshot.Preset}
	}
	s.configuration = c
	s.preset = preset
	return s, nil
}

// Apply returns the state after applying a record.
func (s State) Apply(r logservice.Record) (State, error) {
	if r.Offset <= s.lastOffset {
		return s, &record.OutOfOrderError{Offset: uint64(r.Offset), LastApplied: uint64(s.lastOffset)}
	}
	s.lastOffset = r.Offset
	envelope, err := record.Decode(r.Payload)
	if err != nil {
		return s, err
	}
	return s.withEnvelope(r.Offset, envelope)
}

func (s State) withEnvelope(offset logservice.Offset, envelope record.Envelope) (State, error) {
	if _, seen := s.Outcome(envelope.ID); seen {
		return s, &record.DuplicateError{ID: envelope.ID}
	}
	switch envelope.Kind {
	case ChangeKind:
		change, err := record.Body[Change](envelope)
		if err != nil {
			return s, err
		}
		return s.withChange(offset, envelope.ID, change), nil
	case PresetChangeKind:
		use, err := record.Body[PresetChange](envelope)
		if err != nil {
			return s, err
		}
		return s.withUse(offset, envelope.ID, use), nil
	default:
		return s, &record.UnknownKindError{Kind: envelope.Kind}
	}
}

func (s State) withChange(offset logservice.Offset, id string, change Change) State {
	if change.Base != s.version {
		return s.withOutcome(id, Conflict, "")
	}
	c, err := Decode(change.Document)
	if err != nil {
		return s.withOutcome(id, Invalid, err.Error())
	}
	name := change.Preset
	if name == "" {
		name = s.preset.Name
	}
	preset, ok := c.Preset(name)
	if !ok {
		return s.withOutcome(id, Invalid, (&UnknownPresetError{Preset: name}).Error())
	}
	s.configuration = c
	s.document = change.Document
	s.preset = preset
	return s.withVersion(offset, id)
}

func (s State) withUse(offset logservice.Offset, id string, use PresetChange) State {
	if use.Base != s.version {
		return s.withOutcome(id, Conflict, "")
	}
	preset, ok := s.configuration.Preset(use.Preset)
	if !ok {
		return s.withOutcome(id, Invalid, (&UnknownPresetError{Preset: use.Preset}).Error())
	}
	s.preset = preset
	return s.withVersion(offset, id)
}

func (s State) withVersion(offset logservice.Offset, id string) State {
	s.version = offset
	s.winner = id
	return s.withOutcome(id, Accepted, "")
}

func (s State) withOutcome(id string, verdict Verdict, reason string) State {
	s.outcomes = append(slices.Clip(s.outcomes), Outcome{
		ID:      id,
		Verdict: verdict,
		Version: s.version,
		Winner:  s.winner,
		Reason:  reason,
	})
	if len(s.outcomes) > maxOutcomes {
		s.outcomes = s.outcomes[len(s.outcomes)-maxOutcomes:]
	}
	return s
}
