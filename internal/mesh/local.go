package mesh

import (
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Local is what a VM does for its links.
type Local interface {
	// Holds reports whether this VM holds the lease for orders.
	Holds() bool
	// HolderAddress returns where the holder answers, and false when it is not known or this VM itself.
	HolderAddress() (string, bool)
	// HolderSpoke notes that the holder said that it holds the lease.
	HolderSpoke()
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
	// Learn takes in facts about runners.
	Learn(facts []orders.Holding)
	// CountDemand returns what was asked for here since the last call.
	CountDemand() []orders.Demand
	// Demand and Missing take in what another VM, or this one, was asked for.
	Demand(counts []orders.Demand)
	Missing(service, model, adapter string)
}
