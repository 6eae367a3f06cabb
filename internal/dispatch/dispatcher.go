package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// notReadyRetry is when to ask again a VM that has no configuration yet.
	notReadyRetry = time.Second
	// defaultTimeout bounds a request on a route without a timeout.
	defaultTimeout = 30 * time.Second
)

// Wants takes note of the models and adapters that callers ask for, and of those that no runner has.
type Wants interface {
	Asked(service, model, adapter string)
	// Took tells how long an answered request to a model lasted at its runner, and whether its answer was late.
	Took(service, model string, took time.Duration, late bool)
	Missing(service, model, adapter string)
}

// Dependencies is what a dispatcher works with.
type Dependencies struct {
	Catalog func() *catalog.Catalog
	Roster  func() *roster.View
	// VMs returns how many entry VMs share the limits.
	VMs     func() int
	Tracker *Tracker
	Budget  *Budget
	Sender  Sender
	Wants   Wants
	Metrics *Metrics
	Clock   clockwork.Clock
	Logger  *slog.Logger
}

// Dispatcher serves requests; it is safe for concurrent use.
type Dispatcher struct {
	Dependencies
}

// New returns a dispatcher.
func New(d Dependencies) *Dispatcher {
	return &Dispatcher{
		Dependencies: d,
	}
}

// Serve answers a request; the context ends when the caller goes away.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, caller Caller) {
	c := &call{
		d:       d,
		request: r,
		caller:  caller,
	}
	refused := c.admit()
	if refused == nil {
		refused = c.run(ctx)
	}
	if refused != nil {
		c.refuse(refused)
	}
	c.record()
}

// admit finds the route and the service of the request.
func (c *call) admit() *refusal.Refusal {
	current := c.d.Catalog()
	if current == nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "no configuration is in force here yet").
			WithRetryAfter(notReadyRetry)
	}
	c.version = current.Version
	route, ok := current.Match(c.request.Host, c.request.Path)
	if !ok {
		return refusal.New(http.StatusNotFound, refusal.UnknownService, "no route leads from "+c.request.Host+c.request.Path)
	}
	c.route = route
	c.service, _ = current.Service(route.Service(rand.IntN))
	if c.service.Engine != nil && c.request.Model != "" {
		c.d.Wants.Asked(c.service.Name, c.request.Model, c.request.Adapter)
	}
	c.d.Budget.Arrived(c.service.Name, c.d.Clock.Now())
	c.deadline = c.request.Arrived.Add(c.limit())
	c.framer.last = c.request.ResumeAfter
	return nil
}

// limit returns how long the request may take, by its route and its caller.
func (c *call) limit() time.Duration {
	limit := c.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if c.request.Left > 0 {
		limit = min(limit, c.request.Left)
	}
	return limit
}
