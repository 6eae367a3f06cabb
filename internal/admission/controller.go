package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

const (
	// batchShare is the part of the bound that batch calls may be predicted to use, so that people go first.
	batchShare = 0.5
	// leastShare is the part of the bound up to which even the heaviest caller is admitted.
	leastShare  = 0.5
	minRetry    = 500 * time.Millisecond
	retrySpread = 2 * time.Second
)

// Controller admits calls of one model service on one VM.
type Controller struct {
	random *rand.Rand

	mu       sync.Mutex
	inFlight map[string]int
	total    int
	margins  map[configuration.Class]*margin
}

// New returns a controller; random spreads the times to retry, and nil takes the process's own source.
func New(random *rand.Rand) *Controller {
	return &Controller{
		random:   random,
		inFlight: make(map[string]int),
		margins:  make(map[configuration.Class]*margin),
	}
}

// Decide admits a call or refuses it. An admitted call must be given back with Ended.
func (c *Controller) Decide(r Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Begun {
		return c.admit(r.Caller)
	}
	bound := r.Bound
	if r.Class == configuration.Batch {
		bound = time.Duration(batchShare * float64(bound))
	}
	bound -= c.margin(r.Class).of(bound)
	if !Fits(r.Predicted, r.Cost, bound) {
		return Decision{
			RetryAfter: c.retryAfter(r.Predicted - bound),
		}
	}
	if r.Predicted > time.Duration(c.share(r.Caller)*float64(bound)) {
		return Decision{
			OverShare:  true,
			RetryAfter: c.retryAfter(r.Predicted),
		}
	}
	return c.admit(r.Caller)
}

func (c *Controller) admit(caller string) Decision {
	c.inFlight[caller]++
	c.total++
	return Decision{
		Admit: true,
	}
}

// FirstToken tells the controller whether an admitted call had its first token in time.
func (c *Controller) FirstToken(class configuration.Class, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.margin(class).observe(late)
}

func (c *Controller) margin(class configuration.Class) *margin {
	m, ok := c.margins[class]
	if !ok {
		m = &margin{}
		c.margins[class] = m
	}
	return m
}

// Ended gives an admitted call back.
func (c *Controller) Ended(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total--
	if c.inFlight[caller]--; c.inFlight[caller] == 0 {
		delete(c.inFlight, caller)
	}
}

// share returns the part of the bound that a caller may use: all of it up to its fair share of the calls in
// flight, and less in proportion above.
func (c *Controller) share(caller string) float64 {
	own := c.inFlight[caller]
	if own == 0 {
		return 1
	}
	fair := float64(c.total) / float64(len(c.inFlight))
	return min(1, max(leastShare, fair/float64(own)))
}

func (c *Controller) retryAfter(excess time.Duration) time.Duration {
	return minRetry + excess + c.jitter(retrySpread)
}

func (c *Controller) jitter(spread time.Duration) time.Duration {
	if c.random == nil {
		return rand.N(spread)
	}
	return time.Duration(c.random.Int64N(int64(spread)))
}
