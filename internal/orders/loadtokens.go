package orders

import (
	"math"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// refillLoadTokens adds tokens for loads from the weight store at the store's rate, up to loadBurst.
func (c *Controller) refillLoadTokens(service string, engine *catalog.Engine, seconds float64) {
	c.loadTokens[service] = min(c.loadTokens[service]+engine.LoadsPerSecond*seconds, loadBurst)
}

// availableStoreLoads returns how many loads from the weight store may start now.
func (c *Controller) availableStoreLoads(service string, engine *catalog.Engine) int {
	longestLoad := 0.0
	for _, m := range engine.Models {
		longestLoad = max(longestLoad, m.LoadTime.Seconds())
	}
	maxInFlight := max(int(math.Ceil(engine.LoadsPerSecond*longestLoad)), 1)
	return min(int(c.loadTokens[service]), maxInFlight-c.activeStoreLoads[service])
}
