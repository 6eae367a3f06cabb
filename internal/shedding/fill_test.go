package shedding

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever the sizes, the admitted work of a rank must be within the budget and use it up, no size class may be admitted less than
// half as often as the mean, and smaller ones must not be admitted less often than larger ones.
func TestFillUsesUpBudgetAndStarvesNoSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r rankMix
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			work := rapid.Float64Range(1, 100000).Draw(t, "work")
			r.asked[sizeClass(work)]++
			r.askedWork[sizeClass(work)] += work
		}
		budget := r.work() * rapid.Float64Range(0.01, 0.99).Draw(t, "budget")
		work, admitted, least, previous := 0.0, 0.0, 1.0, 1.0
		for class := range classes {
			if r.asked[class] == 0 {
				continue
			}
			share := r.fill(budget, class)
			require.LessOrEqual(t, share, previous+1e-9)
			previous, least = share, min(least, share)
			work += share * r.askedWork[class]
			admitted += share * r.asked[class]
		}
		require.InEpsilon(t, budget, work, 0.001)
		require.GreaterOrEqual(t, least, 0.5*admitted/sum(&r.asked))
	})
}
