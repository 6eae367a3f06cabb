package shedding_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// patterns are the loads for which requests are shed. The runners can serve 1.2 times the usual load.
var patterns = map[string]pattern{
	"burst of a less urgent kind": {
		usual: 1 / 1.2, surge: [3]float64{1, 1, 2.4}, from: 8 * time.Second, to: 11 * time.Second, ends: 20 * time.Second,
	},
	"demand moves to the model": {
		usual: 1 / 1.2, surge: [3]float64{2.4, 2.4, 2.4}, from: 8 * time.Second, to: 12 * time.Second, ends: 24 * time.Second,
	},
	"hot requests of heavy-tailed sizes": {
		usual: 1 / 1.2, surge: [3]float64{1.6, 1.6, 1.6}, from: 8 * time.Second, to: 16 * time.Second, ends: 28 * time.Second, heavyTailed: true,
	},
}

// Callers must lose less than under the present rule, no kind may be served less often than a less urgent one by more than five
// percentage points, and the largest requests of a kind must be served at least half as often as all of it.
func TestCallersLoseLessThanByPriorityAlone(t *testing.T) {
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			for seed, vms := range []int{36, 36, 300, 300} {
				p.vms = vms
				byPriority := p
				byPriority.priorityRule = true
				before, got := newReplay(byPriority, uint64(seed)), newReplay(p, uint64(seed))
				before.run()
				got.run()
				t.Logf("priority: %v", before)
				t.Logf("cost:     %v", got)
				require.Less(t, got.loss(), before.loss())
				for k := range kinds {
					for _, largest := range [][2]float64{{0.9, 1}, {0.7, 0.9}} {
						require.GreaterOrEqual(t, got.share(k, largest[0], largest[1], served), got.share(k, 0, 1, served)/2, kinds[k].name)
						require.GreaterOrEqual(t, got.share(k, largest[0], largest[1], inTime), got.share(k, 0, 1, inTime)/2, kinds[k].name)
					}
				}
				for k := 1; k < len(kinds); k++ {
					require.GreaterOrEqual(t, got.share(k-1, 0, 1, served), got.share(k, 0, 1, served)-0.05, kinds[k-1].name)
					require.GreaterOrEqual(t, got.share(k-1, 0, 1, inTime), got.share(k, 0, 1, inTime)-0.05, kinds[k-1].name)
				}
			}
		})
	}
}

// Without the demand of all VMs, as while the holder of the lease changes, callers must not lose more than under the present rule
// in a burst or with hot requests, and no kind may be served less often than a less urgent one by more than five percentage points.
func TestCallersDoNotLoseMoreWithoutTotals(t *testing.T) {
	for _, name := range []string{"burst of a less urgent kind", "hot requests of heavy-tailed sizes"} {
		t.Run(name, func(t *testing.T) {
			p := patterns[name]
			p.vms, p.withoutTotals = 36, true
			byPriority := p
			byPriority.priorityRule = true
			before, got := newReplay(byPriority, 1), newReplay(p, 1)
			before.run()
			got.run()
			t.Logf("priority: %v", before)
			t.Logf("cost:     %v", got)
			require.LessOrEqual(t, got.loss(), before.loss())
			for k := 1; k < len(kinds); k++ {
				require.GreaterOrEqual(t, got.share(k-1, 0, 1, served), got.share(k, 0, 1, served)-0.05, kinds[k-1].name)
			}
		})
	}
}

// loss is the weight of the requests that were not served in time, relative to that of all.
func (r *replay) loss() float64 {
	lost, all := 0.0, 0.0
	for _, o := range r.outcomes {
		all += kinds[o.kind].weight
		if !o.inTime {
			lost += kinds[o.kind].weight
		}
	}
	return lost / all
}

// share returns the share of a kind's requests between two quantiles of size for which a condition holds.
func (r *replay) share(k int, from, to float64, holds func(*outcome) bool) float64 {
	var all []*outcome
	for _, o := range r.outcomes {
		if o.kind == k {
			all = append(all, o)
		}
	}
	slices.SortStableFunc(all, func(a, b *outcome) int { return int(a.work - b.work) })
	all = all[int(from*float64(len(all))):int(to*float64(len(all)))]
	n := 0
	for _, o := range all {
		if holds(o) {
			n++
		}
	}
	return float64(n) / float64(len(all))
}

func inTime(o *outcome) bool { return o.inTime }
func served(o *outcome) bool { return o.served }

func (r *replay) String() string {
	text := fmt.Sprintf("loss %.4f;", r.loss())
	for k := range kinds {
		text += fmt.Sprintf(" %s in time %.3f, served %.3f;", kinds[k].name, r.share(k, 0, 1, inTime), r.share(k, 0, 1, served))
	}
	return fmt.Sprintf("%s %v", text, r.reasons)
}
