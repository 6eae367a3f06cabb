package mesh

import (
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Local is what a VM does for its links.
type Local interface {
	// Holds reports whether this VM holds the lease for orders.
	Holds() bool
	// HolderAddress returns where the holder answers, and false when it is not known or this VM itself.
	HolderAddress() (string, bool)
	// Lease returns how far the stream of the lease was read here, and the fencing number of a tenure given up here.
	Lease() (next logservice.Offset, resigned uint64)
	// HolderSpoke notes how far the holder, which holds the lease, has read its stream.
	HolderSpoke(next logservice.Offset)
	// HolderResigned notes that the holder gave a tenure up.
	HolderResigned(fence uint64)
	// Version returns the configuration in force here.
	Version() uint64
	// Configuration returns the newest configuration in the store's own form, or nil.
	Configuration() []byte
	// Runners returns the registrations known here.
	Runners() []roster.Runner
	// StoreOut reports whether this VM can't read the store.
	StoreOut() bool
	// TakeConfiguration and TakeRunners take in what another VM knows.
	TakeConfiguration(encoded []byte)
	TakeRunners(runners []roster.Runner)
	// TakeChanges takes in what the holder read of single registrations.
	TakeChanges(changes []roster.Change)
	// Learn takes in facts about runners.
	Learn(facts []orders.Holding)
	// Occupancy returns the requests that this VM has at the runners, to be told; TakeOccupancy takes in those of all VMs.
	Occupancy() roster.Occupancy
	TakeOccupancy(sum roster.Occupancy)
	// Uses returns what this VM's requests run on.
	Uses() []roster.Use
	// Rates returns what is asked for here.
	Rates() []orders.Rate
	// Demand and Missing take in what a VM was asked for.
	Demand(vm string, rates []orders.Rate)
	Missing(service, model, adapter string)
}
