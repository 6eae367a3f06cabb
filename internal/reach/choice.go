package reach

import (
	"maps"
	"slices"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// choice chooses runners to be probed, and remembers those of the last round.
type choice struct {
	random func(n int) int
	last   []*roster.Runner
}

// pick chooses up to n runners, spread over services and failure domains. It prefers those that were neither chosen last nor are to
// be avoided, and chooses draining ones only if there are fewer than minRunners others.
func (c *choice) pick(view *roster.View, n int, avoid map[string]time.Time) []*roster.Runner {
	c.last = c.spread(c.candidates(view), n, avoid)
	return c.last
}

// pickOthers chooses up to n runners like pick, but none of those chosen last.
func (c *choice) pickOthers(view *roster.View, n int) []*roster.Runner {
	others := slices.DeleteFunc(c.candidates(view), c.chosenLast)
	c.last = c.spread(others, n, nil)
	return c.last
}

// candidates returns the runners that may be chosen, in random order.
func (c *choice) candidates(view *roster.View) []*roster.Runner {
	all := make([]*roster.Runner, 0, len(view.All()))
	for _, id := range slices.Sorted(maps.Keys(view.All())) {
		runner, _ := view.Runner(id)
		all = append(all, runner)
	}
	for i := len(all) - 1; i > 0; i-- {
		j := c.random(i + 1)
		all[i], all[j] = all[j], all[i]
	}
	staying := slices.DeleteFunc(slices.Clone(all), func(r *roster.Runner) bool { return r.Draining })
	if len(staying) >= minRunners {
		return staying
	}
	return all
}

// spread chooses the best of the candidates one by one.
func (c *choice) spread(candidates []*roster.Runner, n int, avoid map[string]time.Time) []*roster.Runner {
	var chosen []*roster.Runner
	for len(chosen) < n && len(candidates) > 0 {
		best := 0
		for i := range candidates {
			if slices.Compare(c.rank(candidates[i], chosen, avoid), c.rank(candidates[best], chosen, avoid)) < 0 {
				best = i
			}
		}
		chosen = append(chosen, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return chosen
}

// rank returns what counts against a runner beside those already chosen, the most important first.
func (c *choice) rank(runner *roster.Runner, chosen []*roster.Runner, avoid map[string]time.Time) []int {
	_, avoided := avoid[runner.ID]
	sameService := func(r *roster.Runner) bool { return r.Service == runner.Service }
	sameDomain := func(r *roster.Runner) bool { return r.FailureDomain == runner.FailureDomain }
	return []int{
		count(chosen, sameService),
		number(avoided || c.chosenLast(runner)),
		number(slices.ContainsFunc(c.last, sameService)),
		count(chosen, sameDomain),
		number(slices.ContainsFunc(c.last, sameDomain)),
	}
}

// chosenLast reports whether a runner was chosen in the last round.
func (c *choice) chosenLast(runner *roster.Runner) bool {
	return slices.ContainsFunc(c.last, func(r *roster.Runner) bool { return r.ID == runner.ID })
}

func count(runners []*roster.Runner, matches func(*roster.Runner) bool) int {
	n := 0
	for _, runner := range runners {
		n += number(matches(runner))
	}
	return n
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}
