package operator

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/event"
	"github.com/cowsliparch/cowsliparch/internal/fold"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/record"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// changeTimeout is how long an operator waits before the answer is UnknownYet.
const changeTimeout = 10 * time.Second

// Changes publishes operators' changes to the Configuration stream.
type Changes struct {
	tail   *fold.Tail[configuration.State]
	logger *slog.Logger
}

// NewChanges returns a publisher over the tail of the Configuration stream.
func NewChanges(tail *fold.Tail[configuration.State], logger *slog.Logger) *Changes {
	return &Changes{
		tail:   tail,
		logger: logger,
	}
}

// Publish checks a change, appends it once and returns its outcome.
func (c *Changes) Publish(ctx context.Context, change operatorapi.Change) operatorapi.Outcome {
	if outcome, ok := c.Outcome(change.ID); ok {
		return outcome
	}
	envelope, invalid := c.envelope(change)
	if invalid != nil {
		return *invalid
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
	defer cancel()
	state, _, err := c.tail.Submit(ctx, envelope)
	var unknown *fold.UnknownYetError
	var unavailable *logservice.UnavailableError
	switch {
	case err == nil:
		return c.judged(state, change.ID)
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
		return refused(change.ID, err.Error(), nil)
	}
}

// Outcome returns what became of a change that was judged lately.
func (c *Changes) Outcome(id string) (operatorapi.Outcome, bool) {
	outcome, ok := c.tail.State().Outcome(id)
	if !ok {
		return operatorapi.Outcome{}, false
	}
	return wire(outcome), true
}

func (c *Changes) judged(state configuration.State, id string) operatorapi.Outcome {
	outcome, ok := state.Outcome(id)
	if !ok {
		return operatorapi.Outcome{
			ID:     id,
			Answer: operatorapi.UnknownYet,
			Reason: "the record is in the log; records before it are not known here yet",
		}
	}
	if outcome.Verdict == configuration.Conflict {
		event.ConfigurationConflict.Log(c.logger, slog.String("Change", id), slog.String("Winner", outcome.Winner))
	}
	return wire(outcome)
}

// envelope returns the record of a change, or its faults.
func (c *Changes) envelope(change operatorapi.Change) (record.Envelope, *operatorapi.Outcome) {
	if change.ID == "" {
		outcome := refused(change.ID, "the change has no ID", nil)
		return record.Envelope{}, &outcome
	}
	var body any = configuration.Use{
		Base:   logservice.Offset(change.Base),
		Preset: change.Preset,
	}
	kind := configuration.UseKind
	if len(change.Document) > 0 {
		if invalid := check(change); invalid != nil {
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
		outcome := refused(change.ID, err.Error(), nil)
		return envelope, &outcome
	}
	return envelope, nil
}

// check validates a document before it is appended. The fold does not repeat it: rules that change between releases
// would let two releases disagree on what is in force.
func check(change operatorapi.Change) *operatorapi.Outcome {
	decoded, err := configuration.Decode(change.Document)
	if err != nil {
		outcome := refused(change.ID, err.Error(), nil)
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
	outcome := refused(change.ID, "the configuration is invalid", faults)
	return &outcome
}

func refused(id, reason string, faults []operatorapi.Fault) operatorapi.Outcome {
	return operatorapi.Outcome{
		ID:     id,
		Answer: operatorapi.Invalid,
		Reason: reason,
		Faults: faults,
	}
}

func wire(outcome configuration.Outcome) operatorapi.Outcome {
	return operatorapi.Outcome{
		ID:      outcome.ID,
		Answer:  operatorapi.Answer(outcome.Verdict),
		Version: uint64(outcome.Version),
		Winner:  outcome.Winner,
		Reason:  outcome.Reason,
	}
}
