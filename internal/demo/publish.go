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

// PublishError reports that the initial configuration was not accepted.
type PublishError struct {
	Outcome operatorapi.Outcome
}

// Error implements error.
func (e *PublishError) Error() string {
	return fmt.Sprintf("initial configuration was not accepted: %s: %s", e.Outcome.Answer, e.Outcome.Reason)
}

// Operator returns a client for the operator API of an entry VM, by its index in Entries.
func (c *Cluster) Operator(index int) *operatorapi.Client {
	return operatorapi.New(c.Entries[index].Entry.ControlAddress(), http.DefaultClient)
}

// Publish publishes the deployment's configuration with its first preset.
func (c *Cluster) Publish(ctx context.Context) error {
	document, err := c.Deployment.Configuration.Encode()
	if err != nil {
		return err
	}
	outcome, err := c.Operator(0).Publish(ctx, operatorapi.Change{
		ID:       uuid.NewString(),
		Document: document,
		Preset:   c.Deployment.Configuration.Presets[0].Name,
	})
	if err != nil {
		return err
	}
	if outcome.Answer != operatorapi.Accepted {
		return &PublishError{Outcome: outcome}
	}
	return nil
}

// startTimeout bounds the time until every model is served.
const startTimeout = 2 * time.Minute

// Start publishes the configuration and waits until every entry VM can route calls to every model.
func (c *Cluster) Start() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := c.Publish(ctx); err != nil {
		return err
	}
	return c.WaitServing(ctx)
}

const servingPollInterval = 20 * time.Millisecond

// WaitServing waits until every entry VM can route calls to every model, or ctx ends.
func (c *Cluster) WaitServing(ctx context.Context) error {
	for {
		if c.allServing() {
			return nil
		}
		if !pause.For(ctx, c.clock, servingPollInterval) {
			return ctx.Err()
		}
	}
}

func (c *Cluster) allServing() bool {
	for _, model := range c.Deployment.Configuration.Models {
		for _, member := range c.Entries {
			if !member.Entry.CanRoute(model.Name) {
				return false
			}
		}
	}
	return true
}
