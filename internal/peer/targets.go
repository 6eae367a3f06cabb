package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

const (
	// domainFanOut is how many VMs of its own failure domain a VM links to.
	domainFanOut = 4
	// remoteFanOut is how many VMs of other failure domains a VM links to in all; it links to at least one in each domain.
	remoteFanOut = 4
)

// Targets returns the VMs that self links to: a fixed number in each failure domain, however many VMs there are. They are
// chosen by rendezvous hashing, so that a change of the VM list moves few links.
func Targets(self string, domain string, entries []vmlist.VM) []vmlist.VM {
	byDomain := make(map[string][]vmlist.VM)
	for _, vm := range entries {
		if vm.Name != self && vm.State == vmlist.Live {
			byDomain[vm.FailureDomain] = append(byDomain[vm.FailureDomain], vm)
		}
	}
	var targets []vmlist.VM
	for name, vms := range byDomain {
		fanOut := max(1, remoteFanOut/max(1, countOtherDomains(byDomain, domain)))
		if name == domain {
			fanOut = domainFanOut
		}
		slices.SortFunc(vms, func(a, b vmlist.VM) int {
			return cmp.Compare(hashWeight(self, a.Name), hashWeight(self, b.Name))
		})
		targets = append(targets, vms[:min(fanOut, len(vms))]...)
	}
	return targets
}

// countOtherDomains counts the failure domains other than domain.
func countOtherDomains(byDomain map[string][]vmlist.VM, domain string) int {
	n := len(byDomain)
	if _, ok := byDomain[domain]; ok {
		n--
	}
	return n
}

// hashWeight returns the weight of a pair in rendezvous hashing; the lowest weights are chosen.
func hashWeight(self, other string) uint64 { return xxhash.Sum64String(self + "\n" + other) }
