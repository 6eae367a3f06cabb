package serving

import (
	"sync"

	"github.com/cowsliparch/cowsliparch/internal/orders"
)

// counter sums up what callers ask of this VM.
type counter struct {
	mu     sync.Mutex
	counts map[asked]orders.Demand
}

type asked struct {
	service string
	model   string
	adapter string
}

func newCounter() *counter {
	return &counter{
		counts: make(map[asked]orders.Demand),
	}
}

func (c *counter) add(service, model, adapter string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := asked{
		service: service,
		model:   model,
		adapter: adapter,
	}
	d := c.counts[key]
	d.Service, d.Model, d.Adapter = service, model, adapter
	d.Requests++
	d.Tokens += tokens
	c.counts[key] = d
}

// take returns the sums since the last call.
func (c *counter) take() []orders.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]orders.Demand, 0, len(c.counts))
	for _, d := range c.counts {
		out = append(out, d)
	}
	clear(c.counts)
	return out
}
