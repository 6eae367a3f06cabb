package orders

import (
	"math"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// refillLoadTokens adds tokens for loads from the weight store at the store's rate, up to loadBurst.
func (s *Steward) refillLoadTokens(service string, engine *catalog.Engine, seconds float64) {
	s.loadTokens[service] = min(s.loadTokens[service]+engine.LoadsPerSecond*seconds, loadBurst)
}

// availableStoreLoads returns how many loads from the weight store may start now.
func (s *Steward) availableStoreLoads(service string, engine *catalog.Engine) int {
	longestLoad := 0.0
	for _, m := range engine.Models {
		longestLoad = max(longestLoad, m.LoadTime.Seconds())
	}
	maxInFlight := max(int(math.Ceil(engine.LoadsPerSecond*longestLoad)), 1)
	return min(int(s.loadTokens[service]), maxInFlight-s.activeStoreLoads[service])
}
