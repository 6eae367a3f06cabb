package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// divideShares sets the shares of the grants. A share is increased only by what other VMs are known not to use any more.
func divideShares(holdings []*holding, budget float64, q catalog.Quota) {
	weights := make([]float64, len(holdings))
	spare := budget
	for i, h := range holdings {
		weights[i] = h.account.slow
		spare -= h.share
	}
	targets := divide(weights, budget, typicalCost(q)/(2*room(q)))
	increase := 0.0
	for i, h := range holdings {
		increase += max(targets[i]-h.share, 0)
	}
	part := 0.0
	if spare > 0 && increase > 0 {
		part = min(1, spare/increase)
	}
	for i, h := range holdings {
		share := targets[i]
		if share > h.share {
			share = h.share + part*(share-h.share)
		}
		h.grant.Share = roundDown(share)
	}
}

// roundDown converts a share without increasing it, so that the shares don't add up to more.
func roundDown(share float64) float32 {
	s := float32(share)
	if float64(s) > share {
		s = math.Nextafter32(s, 0)
	}
	return s
}

// divide divides a budget by weights, a small part of it evenly. A share less than the least useful one, which would be too small for
// any request, is 0 instead, so that small quotas stay with the VMs that have the most demand.
func divide(weights []float64, budget, least float64) []float64 {
	shares := make([]float64, len(weights))
	order := make([]int, len(weights))
	total := 0.0
	for i, w := range weights {
		order[i] = i
		total += w
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(weights[y], weights[x]) })
	shareOf := func(i, n int) float64 {
		even := budget / float64(n)
		if total <= 0 {
			return even
		}
		return evenPart*even + (1-evenPart)*budget*weights[i]/total
	}
	for n := len(order); n > 0; n-- {
		last := order[n-1]
		if shareOf(last, n) < least && n > 1 {
			total -= weights[last]
			continue
		}
		for _, i := range order[:n] {
			shares[i] = shareOf(i, n)
		}
		break
	}
	return shares
}
