package operator

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/internal/replay"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// changeTimeout is how long Publish waits for the outcome of a change before it returns UnknownYet.
const changeTimeout = 10 * time.Second

// Publisher publishes configuration changes of operators to the Configuration stream.
type Publisher struct {
	follower *replay.Follower[configuration.State]
	logger   *slog.Logger
}

// NewPublisher returns a publisher that appends through the follower of the Configuration stream.
func NewPublisher(follower *replay.Follower[configuration.State], logger *slog.Logger) *Publisher {
	return &Publisher{
		follower: follower,
		logger:   logger,
	}
}

// Publish validates a change, appends it once and returns its outcome; a change whose ID was seen before is not appended
// again.
func (p *Publisher) Publish(ctx context.Context, change operatorapi.Change) operatorapi.Outcome {
	if outcome, ok := p.Outcome(change.ID); ok {
		return outcome
	}
	envelope, invalid := p.newEnvelope(change)
	if invalid != nil {
		return *invalid
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
	defer cancel()
	state, _, err := p.follower.Submit(ctx, envelope)
	var unknown *replay.UnknownYetError
	var unavailable *logservice.UnavailableError
	switch {
	case err == nil:
		return p.outcomeFrom(state, change.ID)
	case errors.As(err, &unknown):
		return operatorapi.Outcome{
			ID:     change.ID,
			Answer: operatorapi.UnknownYet,
			Reason: err.Error(),
		}
	case errors.As(err, &unavailable):
		return operatorapi.Outcome{
			ID:     change.ID,
			Answer: operatorapi.NotAppended,
			Reason: err.Error(),
		}
	default:
		return invalidOutcome(change.ID, err.Error(), nil)
	}
}

// Outcome returns the outcome of a recent change, or false if this VM doesn't know it.
func (p *Publisher) Outcome(id string) (operatorapi.Outcome, bool) {
	outcome, ok := p.follower.State().Outcome(id)
	if !ok {
		return operatorapi.Outcome{}, false
	}
	return toAPI(outcome), true
}

// outcomeFrom returns the outcome of a change that is already in the log, as recorded in state.
func (p *Publisher) outcomeFrom(state configuration.State, id string) operatorapi.Outcome {
	outcome, ok := state.Outcome(id)
	if !ok {
		return operatorapi.Outcome{
			ID:     id,
			Answer: operatorapi.UnknownYet,
			Reason: "the record is in the log; records before it are not known here yet",
		}
	}
	if outcome.Verdict == configuration.Conflict {
		event.ConfigurationConflict.Log(p.logger, slog.String("Change", id), slog.String("Winner", outcome.Winner))
	}
	return toAPI(outcome)
}

// newEnvelope returns the record of a change, or an Invalid outcome if the change is not valid.
func (p *Publisher) newEnvelope(change operatorapi.Change) (record.Envelope, *operatorapi.Outcome) {
	if change.ID == "" {
		outcome := invalidOutcome(change.ID, "the change has no ID", nil)
		return record.Envelope{}, &outcome
	}
	var body any = configuration.PresetChange{
		Base:   logservice.Offset(change.Base),
		Preset: change.Preset,
	}
	kind := configuration.PresetChangeKind
	if len(change.Document) > 0 {
		if invalid := validate(change); invalid != nil {
			return record.Envelope{}, invalid
		}
		kind = configuration.ChangeKind
		body = configuration.Change{
			Base:     logservice.Offset(change.Base),
			Document: change.Document,
			Preset:   change.Preset,
		}
	}
	envelope, err := record.NewWithID(kind, change.ID, body)
	if err != nil {
		outcome := invalidOutcome(change.ID, err.Error(), nil)
		return envelope, &outcome
	}
	return envelope, nil
}

// validate checks a document before it is appended; it returns an Invalid outcome, or nil if the document is valid. The
// check is not repeated when the record is read back: rules that differ between releases would let two releases disagree on
// which configuration is in force.
func validate(change operatorapi.Change) *operatorapi.Outcome {
	decoded, err := configuration.Decode(change.Document)
	if err != nil {
		outcome := invalidOutcome(change.ID, err.Error(), nil)
		return &outcome
	}
	var invalid *configuration.InvalidError
	if !errors.As(decoded.Validate(), &invalid) {
		return nil
	}
	var faults []operatorapi.Fault
	for _, fault := range invalid.Faults {
		faults = append(faults, operatorapi.Fault{
			Path:   fault.Path,
			Reason: fault.Reason,
		})
	}
	outcome := invalidOutcome(change.ID, "the configuration is invalid", faults)
	return &outcome
}

func invalidOutcome(id, reason string, faults []operatorapi.Fault) operatorapi.Outcome {
	return operatorapi.Outcome{
		ID:     id,
		Answer: operatorapi.Invalid,
		Reason: reason,
		Faults: faults,
	}
}

// toAPI converts an outcome to the type of the operator API.
func toAPI(outcome configuration.Outcome) operatorapi.Outcome {
	return operatorapi.Outcome{
		ID:      outcome.ID,
		Answer:  operatorapi.Answer(outcome.Verdict),
		Version: uint64(outcome.Version),
		Winner:  outcome.Winner,
		Reason:  outcome.Reason,
	}
}
