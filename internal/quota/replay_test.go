package quota_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replays are the scenarios that are replayed, each with several seeds; connected is set if no VM is ever cut off or lost.
var replays = []struct {
	name      string
	seeds     int
	connected bool
	change    func(*scenario)
}{
	{"Calm", 2, true, func(s *scenario) { s.hot = nil }},
	{"Hot", 4, true, func(*scenario) {}},
	{"HotOnNewConnections", 4, true, func(s *scenario) { s.spreadHot = true }},
	{"SmallBurst", 2, false, func(s *scenario) { s.burst = 1 }},
	{"LostFrames", 2, false, func(s *scenario) { s.lossRate = 0.1 }},
	{"LostLinks", 2, false, func(s *scenario) { s.flapEvery = time.Second }},
	{"Partition", 2, false, func(s *scenario) { s.partitionFrom, s.partitionTo = 22*time.Second, 60*time.Second }},
	{"PartitionOnNewConnections", 2, false, func(s *scenario) {
		s.partitionFrom, s.partitionTo, s.spreadHot = 18*time.Second, 60*time.Second, true
	}},
	{"KilledHolder", 2, false, func(s *scenario) { s.killHolderAt = 22 * time.Second }},
	{"KilledHolderBeforeHot", 2, false, func(s *scenario) { s.killHolderAt, s.spreadHot = 19*time.Second, true }},
	{"AllLost", 2, false, func(s *scenario) { s.loseAllAt = 24 * time.Second }},
	{"AllLostOnNewConnections", 2, false, func(s *scenario) { s.loseAllAt, s.spreadHot = 22*time.Second, true }},
	{"Lowered", 2, false, func(s *scenario) { s.lowerAt = 22 * time.Second }},
	{"AllFaults", 3, false, func(s *scenario) {
		s.partitionFrom, s.partitionTo = 45*time.Second, 70*time.Second
		s.killHolderAt, s.loseAllAt, s.lowerAt = 33*time.Second, 62*time.Second, 76*time.Second
		s.flapEvery, s.lossRate, s.spreadHot = 3*time.Second, 0.05, true
	}},
}

// Whatever happens to the VMs and their links, all of them together must not admit more than the quota permits. While all are
// connected, accounts within their quotas must hardly be refused, and hot ones must get theirs.
func TestReplay(t *testing.T) {
	for _, r := range replays {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			offered, wronged, hotUnits, hotQuota := 0, 0, 0.0, 0.0
			t.Run("Seeds", func(t *testing.T) {
				for seed := range uint64(r.seeds) {
					t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
						t.Parallel()
						s := scenario{
							seed:        seed + 1,
							vms:         67,
							length:      90 * time.Second,
							burst:       2,
							hot:         []time.Duration{20 * time.Second, 32 * time.Second, 47 * time.Second, 61 * time.Second, 75 * time.Second},
							hotAccounts: 5,
						}
						r.change(&s)
						sim := simulate(s)
						mu.Lock()
						defer mu.Unlock()
						for _, a := range sim.accounts {
							part, at := sim.worstWindow(a)
							require.LessOrEqual(t, part, 1.0, "account %d exceeds the bound in the window up to %v", a.index, at)
							hotUnits += a.hotUnits
							hotQuota += a.hotQuota
							if !a.everHot {
								offered += a.offered
								wronged += a.wronged
							}
						}
					})
				}
			})
			refused := float64(wronged) / float64(offered)
			t.Logf("refused within the quota: %.4f; hot accounts got %.2f of their quota", refused, hotUnits/max(hotQuota, 1))
			if !r.connected {
				return
			}
			require.Less(t, refused, 0.01, "refused although within the quota")
			if hotQuota > 0 {
				require.GreaterOrEqual(t, hotUnits, 0.9*hotQuota)
			}
		})
	}
}
