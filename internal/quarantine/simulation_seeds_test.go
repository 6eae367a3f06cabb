package quarantine_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var seeds = flag.Int("seeds", 3, "number of seeds of each simulated scenario")

const (
	// requestsPerRunner is the rate of all requests per second for each runner.
	requestsPerRunner = 3.1
	// toleratedAfter is the number of requests with the deadly section that may reach runners long after the fifth crash.
	toleratedAfter = 3
)

// systems returns the simulated systems, as scenarios without deadly requests and further faults.
func systems() []scenario {
	return []scenario{
		{
			vms:     8,
			runners: 9,
			rate:    9 * requestsPerRunner,
			length:  30 * time.Second,
		},
		{
			vms:     89,
			runners: 90,
			rate:    90 * requestsPerRunner,
			length:  12 * time.Second,
		},
	}
}

// summary adds up the outcomes of the seeds of a scenario.
type summary struct {
	delays       []time.Duration
	after        int
	wronged      int
	stillWronged int
	unconvicted  int
}

// runSeeds runs a scenario with several seeds.
func runSeeds(s scenario) summary {
	var sum summary
	for seed := range *seeds {
		s.seed = uint64(seed)
		o := simulate(s)
		switch {
		case o.convictedAt == 0:
			sum.unconvicted++
		case o.crashes < 5:
			sum.delays = append(sum.delays, 0)
		default:
			sum.delays = append(sum.delays, max(o.convictedAt-o.fifthCrash, 0))
		}
		sum.after = max(sum.after, o.after)
		sum.wronged += len(o.wronged)
		sum.stillWronged += o.stillWronged
	}
	slices.Sort(sum.delays)
	return sum
}

func (s summary) String() string {
	if len(s.delays) == 0 {
		return fmt.Sprintf("not convicted; others convicted %d, at the end %d", s.wronged, s.stillWronged)
	}
	return fmt.Sprintf("convicted after the fifth crash: median %v, longest %v; requests after that %d; others convicted %d, at the end %d",
		s.delays[len(s.delays)/2], s.delays[len(s.delays)-1], s.after, s.wronged, s.stillWronged)
}

// The deadly section is found wherever it is in the prompts, and hardly ever another one before it, which is released then.
func TestDeadlySectionIsFound(t *testing.T) {
	for _, s := range systems() {
		for _, p := range []placement{first, middle, replaces} {
			for _, share := range []float64{0.01, 0.03, 0.1, 0.3} {
				s := s
				s.placement, s.share, s.deadlyFrom = p, share, 2*time.Second
				t.Run(fmt.Sprintf("%d runners, %s, %v", s.runners, p, share), func(t *testing.T) {
					t.Parallel()
					sum := runSeeds(s)
					t.Log(sum)
					require.LessOrEqual(t, sum.after, toleratedAfter)
					require.LessOrEqual(t, sum.wronged, *seeds/100)
					require.Zero(t, sum.stillWronged)
					if share >= 0.03 {
						require.Zero(t, sum.unconvicted)
					}
				})
			}
		}
	}
}

// A section that crashes runners only after the first data of its answers is found as well.
func TestSectionThatCrashesAfterFirstDataIsFound(t *testing.T) {
	for _, s := range systems() {
		for _, p := range []placement{first, middle, replaces} {
			for _, lost := range []float64{0, 0.5} {
				for _, delay := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
					s := s
					s.placement, s.share, s.deadlyFrom, s.crashAfter, s.dataLost = p, 0.05, 2*time.Second, delay, lost
					t.Run(fmt.Sprintf("%d runners, %s, %v, %v", s.runners, p, delay, lost), func(t *testing.T) {
						t.Parallel()
						sum := runSeeds(s)
						t.Log(sum)
						require.LessOrEqual(t, sum.after, toleratedAfter)
						require.LessOrEqual(t, sum.wronged, *seeds/100)
						require.Zero(t, sum.stillWronged)
						require.Zero(t, sum.unconvicted)
					})
				}
			}
		}
	}
}

// disturbed returns a scenario with each kind of further faults.
func disturbed(s scenario) map[string]scenario {
	mass, resets, breakOffs, all := s, s, s, s
	mass.massCrashes = 4 * time.Second
	resets.vmResets = time.Second
	breakOffs.breakOffs = 0.02
	all.massCrashes, all.vmResets, all.breakOffs = mass.massCrashes, resets.vmResets, breakOffs.breakOffs
	return map[string]scenario{
		"mass crashes": mass,
		"resets":       resets,
		"break-offs":   breakOffs,
		"all":          all,
	}
}

// Crashes and network faults without a deadly section lead to no conviction.
func TestFaultsConvictNoSection(t *testing.T) {
	for _, system := range systems() {
		for name, s := range disturbed(system) {
			t.Run(fmt.Sprintf("%d runners, %s", s.runners, name), func(t *testing.T) {
				t.Parallel()
				sum := runSeeds(s)
				t.Log(sum)
				require.Zero(t, sum.wronged)
			})
		}
	}
}

// Beside other faults, the deadly section is found too, and a section that was blamed wrongly is released.
func TestDeadlySectionIsFoundAmongFaults(t *testing.T) {
	for _, system := range systems() {
		for name, s := range disturbed(system) {
			s.placement, s.share, s.deadlyFrom = first, 0.1, 2*time.Second
			t.Run(fmt.Sprintf("%d runners, %s", s.runners, name), func(t *testing.T) {
				t.Parallel()
				sum := runSeeds(s)
				t.Log(sum)
				require.Zero(t, sum.unconvicted)
				require.LessOrEqual(t, sum.after, toleratedAfter)
				require.Zero(t, sum.stillWronged)
			})
		}
	}
}
