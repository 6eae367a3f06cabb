package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	// domainFanOut is how many VMs of its own failure domain a VM is linked to.
	domainFanOut = 8
	// remoteFanOut is how many VMs of each other failure domain a VM is linked to.
	remoteFanOut = 2
)

// Targets returns the VMs that self is linked to: a fixed number in each failure domain, however many there are,
// chosen by rendezvous hashing so that a change of the list moves few links.
func Targets(self string, domain string, entries []vmlist.VM) []vmlist.VM {
	byDomain := make(map[string][]vmlist.VM)
	for _, vm := range entries {
		if vm.Name != self && vm.State == vmlist.Live {
			byDomain[vm.FailureDomain] = append(byDomain[vm.FailureDomain], vm)
		}
	}
	var targets []vmlist.VM
	for name, vms := range byDomain {
		fanOut := remoteFanOut
		if name == domain {
			fanOut = domainFanOut
		}
		slices.SortFunc(vms, func(a, b vmlist.VM) int {
			return cmp.Compare(weight(self, a.Name), weight(self, b.Name))
		})
		targets = append(targets, vms[:min(fanOut, len(vms))]...)
	}
	return targets
}

func weight(self, other string) uint64 { return xxhash.Sum64String(self + "\n" + other) }
