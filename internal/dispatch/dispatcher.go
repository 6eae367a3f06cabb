package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/buffer"
	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/refusal"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

const (
	// notReadyRetryAfter is the Retry-After of a VM that has no configuration yet.
	notReadyRetryAfter = time.Second
	// defaultTimeout limits a request whose route has no timeout.
	defaultTimeout = 30 * time.Second
)

// DemandRecorder records the demand for models and adapters, and which of them no runner has.
type DemandRecorder interface {
	// RecordRequest records a request to a model or adapter.
	RecordRequest(service, model, adapter string)
	// RecordDuration records how long a runner took to answer a request to a model, and whether its response was late.
	RecordDuration(service, model string, took time.Duration, late bool)
	// RecordMissing records that no runner has the requested model or adapter.
	RecordMissing(service, model, adapter string)
}

// Dependencies holds what a dispatcher uses.
type Dependencies struct {
	Catalog func() *catalog.Catalog
	Roster  func() *roster.View
	// VMs returns the number of entry VMs that share the limits.
	VMs         func() int
	Tracker     *Tracker
	RetryBudget *RetryBudget
	Sender      Sender
	Demand      DemandRecorder
	// Buffers limits what is held of all responses together.
	Buffers *buffer.Budget
	// Guard may be nil; then every prompt may be sent.
	Guard SectionGuard
	// Origins may be nil; then a stream goes on at any runner.
	Origins Origins
	// Reach and Proxies may be nil; then requests are sent to runners only.
	Reach   Reach
	Proxies Proxies
	// ProxyTracker keeps what is known of the VMs of Proxies; it may be nil if there are none.
	ProxyTracker *Tracker
	// Quotas may be nil; then no account has a limit.
	Quotas QuotaLimiter
	// Shedding may be empty; then priority and expected wait decide which requests are refused.
	Shedding Shedding
	Metrics  *Metrics
	Clock    clockwork.Clock
	Logger   *slog.Logger
}

// Dispatcher serves requests by sending them to runners; it is safe for concurrent use.
type Dispatcher struct {
	Dependencies
}

// New returns a dispatcher with the given dependencies.
func New(d Dependencies) *Dispatcher {
	if d.Guard == nil {
		d.Guard = noGuard{}
	}
	if d.Origins == nil {
		d.Origins = noOrigins{}
	}
	if d.Reach == nil {
		d.Reach = alwaysReached{}
	}
	if d.Quotas == nil {
		d.Quotas = noQuota{}
	}
	return &Dispatcher{
		Dependencies: d,
	}
}

// Serve handles one request to its end; ctx must be canceled when the caller disconnects.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, caller Caller) {
	c := &call{
		d:       d,
		request: r,
		caller:  caller,
	}
	refused := c.resolveRoute()
	if refused == nil {
		refused = c.run(ctx)
		c.returnQuota()
	}
	if refused != nil {
		c.refuse(refused)
	}
	c.record()
}

// resolveRoute finds the route, the account and the service of the request, sets its deadline and takes its cost from the account's
// quota.
func (c *call) resolveRoute() *refusal.Refusal {
	current := c.d.Catalog()
	if current == nil {
		return refusal.New(http.StatusServiceUnavailable, refusal.NotReady, "no configuration is in force here yet").
			WithRetryAfter(notReadyRetryAfter)
	}
	c.version = current.Version
	if refused := c.admitProxied(current); refused != nil {
		return refused
	}
	route, ok := current.Match(c.request.Host, c.request.Path)
	if !ok {
		return refusal.New(http.StatusNotFound, refusal.UnknownService, "no route leads from "+c.request.Host+c.request.Path)
	}
	c.route = route
	if refused := c.identify(current); refused != nil {
		return refused
	}
	c.service, _ = current.Service(route.PickService(rand.IntN))
	if refused := c.takeQuota(); refused != nil {
		return refused
	}
	c.recordDemand()
	c.deadline = c.request.Arrived.Add(c.timeout())
	c.lastEventID = c.request.ResumeAfter
	return nil
}

// recordDemand counts the request. Of one that is sent through another VM, the VM that got it from the caller counts the demand, and the
// other one, which makes the retries, counts it for the retry budget.
func (c *call) recordDemand() {
	proxied := c.request.Proxied
	if c.service.Engine != nil && c.request.Model != "" && proxied == nil {
		c.d.Demand.RecordRequest(c.service.Name, c.request.Model, c.request.Adapter)
	}
	if !c.usesProxy() && (proxied == nil || proxied.Attempts == 0) {
		c.d.RetryBudget.RecordRequest(c.service.Name, c.d.Clock.Now())
	}
}

// timeout returns the route's timeout, or the time that the caller will wait if that is shorter.
func (c *call) timeout() time.Duration {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.request.MaxWait > 0 {
		timeout = min(timeout, c.request.MaxWait)
	}
	return timeout
}
