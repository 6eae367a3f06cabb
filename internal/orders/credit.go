package orders

import (
	"math"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// earn lets the weight store's rate build up credit for loads.
func (s *Steward) earn(service string, engine *catalog.Engine, seconds float64) {
	s.credit[service] = min(s.credit[service]+engine.LoadsPerSecond*seconds, loadBurst)
}

// mayLoad returns how many loads from the weight store may begin now.
func (s *Steward) mayLoad(service string, engine *catalog.Engine) int {
	longest := 0.0
	for _, m := range engine.Models {
		longest = max(longest, m.LoadTime.Seconds())
	}
	atOnce := max(int(math.Ceil(engine.LoadsPerSecond*longest)), 1)
	return min(int(s.credit[service]), atOnce-s.storeLoads[service])
}
