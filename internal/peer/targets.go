package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	// domainFanOut is how many VMs of its own failure domain a VM is linked to.
	domainFanOut = 4
	// remoteFanOut is how many VMs of all other failure domains together a VM is linked to, at least one of each.
	remoteFanOut = 4
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
		fanOut := max(1, remoteFanOut/max(1, others(byDomain, domain)))
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

// others counts the failure domains that are not this one.
func others(byDomain map[string][]vmlist.VM, domain string) int {
	n := len(byDomain)
	if _, ok := byDomain[domain]; ok {
		n--
	}
	return n
}

func weight(self, other string) uint64 { return xxhash.Sum64String(self + "\n" + other) }
