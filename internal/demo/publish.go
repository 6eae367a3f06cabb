package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/cowsliparch/cowsliparch/internal/pause"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// PublishError reports a first configuration that was not accepted.
type PublishError struct {
	Outcome operatorapi.Outcome
}

// Error implements error.
func (e *PublishError) Error() string {
	return fmt.Sprintf("the first configuration got %s: %s", e.Outcome.Answer, e.Outcome.Reason)
}

// Operator returns a client for an entry VM of the world.
func (w *World) Operator(member int) *operatorapi.Client {
	return operatorapi.New(w.Entries[member].Entry.ControlAddress(), http.DefaultClient)
}

// Publish puts the deployment's configuration in force with its first preset.
func (w *World) Publish(ctx context.Context) error {
	document, err := w.Deployment.Configuration.Encode()
	if err != nil {
		return err
	}
	outcome, err := w.Operator(0).Publish(ctx, operatorapi.Change{
		ID:       uuid.NewString(),
		Document: document,
		Preset:   w.Deployment.Configuration.Presets[0].Name,
	})
	if err != nil {
		return err
	}
	if outcome.Answer != operatorapi.Accepted {
		return &PublishError{Outcome: outcome}
	}
	return nil
}

// startTimeout is how long a world may take to load its models.
const startTimeout = 2 * time.Minute

// Start publishes the configuration and waits until every model can be reached.
func (w *World) Start() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := w.Publish(ctx); err != nil {
		return err
	}
	return w.WaitServing(ctx)
}

const readyInterval = 20 * time.Millisecond

// WaitServing waits until every model is ready at some endpoint that each failure domain can reach.
func (w *World) WaitServing(ctx context.Context) error {
	for {
		if w.serving() {
			return nil
		}
		if !pause.For(ctx, w.clock, readyInterval) {
			return ctx.Err()
		}
	}
}

func (w *World) serving() bool {
	for _, model := range w.Deployment.Configuration.Models {
		for _, member := range w.Entries {
			if !member.Entry.Reaches(model.Name) {
				return false
			}
		}
	}
	return true
}
