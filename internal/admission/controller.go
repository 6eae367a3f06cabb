package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

const (
	// batchBoundShare is the fraction of the bound that batch calls may be predicted to use, so that calls of the
	// People class come first.
	batchBoundShare = 0.5
	// minCallerShare is the fraction of the bound up to which even the heaviest caller is admitted.
	minCallerShare   = 0.5
	minRetryAfter    = 500 * time.Millisecond
	retryAfterJitter = 2 * time.Second
)

// Controller admits calls to one model service on one VM.
type Controller struct {
	random *rand.Rand

	mu       sync.Mutex
	inFlight map[string]int
	total    int
	margins  map[configuration.Class]*margin
}

// New returns a controller; random adds jitter to the retry times, and nil selects the process-wide source.
func New(random *rand.Rand) *Controller {
	return &Controller{
		random:   random,
		inFlight: make(map[string]int),
		margins:  make(map[configuration.Class]*margin),
	}
}

// Decide admits or refuses a call. Each admitted call must be followed by Release.
func (c *Controller) Decide(r Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.AlreadyAdmitted {
		return c.admit(r.Caller)
	}
	bound := r.Bound
	if r.Class == configuration.Batch {
		bound = time.Duration(batchBoundShare * float64(bound))
	}
	bound -= c.margin(r.Class).of(bound)
	if !Fits(r.Predicted, r.PrefillTime, bound) {
		return Decision{
			RetryAfter: c.retryAfter(r.Predicted - bound),
		}
	}
	if r.Predicted > time.Duration(c.callerShare(r.Caller)*float64(bound)) {
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

// FirstToken records whether an admitted call had its first token late.
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

// Release records the end of an admitted call.
func (c *Controller) Release(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total--
	if c.inFlight[caller]--; c.inFlight[caller] == 0 {
		delete(c.inFlight, caller)
	}
}

// callerShare returns the fraction of the bound that a caller may use: all of it up to its fair share of the calls in
// flight, and proportionally less above that.
func (c *Controller) callerShare(caller string) float64 {
	own := c.inFlight[caller]
	if own == 0 {
		return 1
	}
	fair := float64(c.total) / float64(len(c.inFlight))
	return min(1, max(minCallerShare, fair/float64(own)))
}

func (c *Controller) retryAfter(excess time.Duration) time.Duration {
	return minRetryAfter + excess + c.jitter(retryAfterJitter)
}

func (c *Controller) jitter(spread time.Duration) time.Duration {
	if c.random == nil {
		return rand.N(spread)
	}
	return time.Duration(c.random.Int64N(int64(spread)))
}
