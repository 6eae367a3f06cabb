package promptguard

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Linked guards keep a deadly section from the runners, and no other one, whether or not the lease holder is replaced while they
// find out.
func TestSimulatedCluster(t *testing.T) {
	for name, scenario := range map[string]struct {
		replaceAfter time.Duration
		crashAfter   time.Duration
	}{
		"calm":                              {0, 0},
		"holder replaced at once":           {500 * time.Millisecond, 0},
		"holder replaced after the verdict": {8 * time.Second, 0},
		"crashes after the first data":      {0, 100 * time.Millisecond},
		"both":                              {500 * time.Millisecond, 100 * time.Millisecond},
	} {
		for _, vms := range []int{8, 89} {
			for seed := range *seeds {
				t.Run(fmt.Sprintf("%d VMs, %s, seed %d", vms, name, seed), func(t *testing.T) {
					t.Parallel()
					s := newSimulation(t, vms, vms+1, uint64(seed))
					s.crashAfter = scenario.crashAfter
					if scenario.replaceAfter > 0 {
						s.after(scenario.replaceAfter, s.replaceHolder)
					}
					s.run(20 * time.Second)
					t.Logf("crashes %d, requests late %d, served %d", s.crashes, s.lateRequests, s.served)
					require.GreaterOrEqual(t, s.crashes, 3)
					require.LessOrEqual(t, s.lateRequests, 3)
					for _, v := range s.vms {
						require.Equal(t, []string{"deadly"}, slices.Collect(maps.Keys(v.view.Load().quarantined)))
					}
					require.Contains(t, s.stored, "deadly")
				})
			}
		}
	}
}
